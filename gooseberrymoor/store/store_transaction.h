#pragma once

#include "gooseberrymoor/store/store_era.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrymoor {

// A condition of a transaction: the key was last changed at `modRevision`, or is absent if 0.
struct store_compare
{
    std::string key;
    std::int64_t modRevision = 0;
};

// A write of one key, attached to `lease` unless that is 0.
struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

// Writes and deletes that are applied atomically if every condition holds. Value type.
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
};

// The store's response to a transaction. `succeeded` says whether every condition held.
struct transaction_result
{
    bool succeeded = false;
    std::int64_t revision = 0; // of the store, after the transaction
    store_era era = store_era::first; // of the revision
};

} // namespace gooseberrymoor
