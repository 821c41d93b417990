#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/store/store_change.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_error.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// The platform's key-value service. Not thread-safe; any number of tasks may wait on it.
// A store without leases or watches answers `unavailable` to them, and its users poll.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    // Reads all keys that begin with `prefix`.
    virtual asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix)
        = 0;

    // Reads the one key `key`; no entry if it is absent.
    virtual asio::awaitable<tl::expected<store_read, store_error>> readKey(std::string key);

    // Tries `transaction` once; it is never sent again by itself.
    virtual asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) = 0;

    // Grants a lease that lasts `timeToLive`, in whole seconds, without renewal. Keys put with it
    // go when it ends, and a put that names an ended lease fails. Returns its number.
    virtual asio::awaitable<tl::expected<std::int64_t, store_error>>
    grantLease(duration timeToLive);

    // Renews `lease`; returns how long it lasts from now on, zero if it has ended.
    virtual asio::awaitable<tl::expected<duration, store_error>> keepAlive(std::int64_t lease);

    // Waits until a key that begins with `prefix` has changed after revision `afterRevision`, or
    // for `timeout`. Returns whether one has: a store that cannot tell says it has.
    virtual asio::awaitable<tl::expected<bool, store_error>>
    waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout);

    // Reads what changed after `afterRevision` in the keys that begin with `prefix`; with nothing
    // changed yet, the store may hold the answer for `wait`. `history_lost` if it can't tell.
    virtual asio::awaitable<tl::expected<store_changes, store_error>>
    readChanges(std::string prefix, std::int64_t afterRevision, duration wait);

    // Ends `lease` and removes its keys; an ended one is no error.
    virtual asio::awaitable<tl::expected<void, store_error>> revokeLease(std::int64_t lease);
};

} // namespace gooseberrymoor
