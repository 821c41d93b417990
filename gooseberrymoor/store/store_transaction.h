#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A condition: the key's last change was at `modRevision`; 0 says the key is absent.
struct store_compare
{
    std::string key;
    std::int64_t modRevision = 0;
};

// A write of one key; `lease` 0 is none.
struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

// Writes that take place together if every condition holds. Value type.
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
};

// The outcome of a transaction that the store answered.
struct transaction_result
{
    bool succeeded = false;
    std::int64_t revision = 0; // the store's, after it
};

} // namespace gooseberrymoor
