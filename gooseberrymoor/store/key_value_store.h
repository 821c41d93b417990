#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_error.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// The platform's key-value service. Not thread-safe; any number of tasks may wait on it.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    // Reads all keys that begin with `prefix`.
    virtual asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix)
        = 0;

    // Tries `transaction` once; it is never sent again by itself.
    virtual asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) = 0;
};

} // namespace gooseberrymoor
