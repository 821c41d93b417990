#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/store/store_change.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_error.h"
#include "gooseberrymoor/store/store_lease.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Client of the platform's key-value service. Each answer tells the store's era, failures too; what
// is of an older era than one already seen must not be believed (see `store_era_tracker`). Not
// thread-safe; any number of tasks may wait on it. A store that does not support leases or watches
// fails those calls with `unavailable`, and its users poll instead.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    // Reads all keys with `prefix`.
    virtual asio::awaitable<tl::expected<store_read, store_error>> readPrefix(std::string prefix)
        = 0;

    // Reads exactly `key`; the result has no entry if the key is absent.
    virtual asio::awaitable<tl::expected<store_read, store_error>> readKey(std::string key);

    // Sends `transaction` once. It is never retried here, as it may have been executed.
    virtual asio::awaitable<tl::expected<transaction_result, store_error>>
    transact(store_transaction transaction) = 0;

    // Grants a lease that expires after `timeToLive`, in whole seconds, unless renewed. When it
    // ends, the keys that were put with it are deleted, and later puts that name it fail.
    virtual asio::awaitable<tl::expected<store_lease, store_error>> grantLease(duration timeToLive);

    // Renews the lease with the id `lease`.
    virtual asio::awaitable<tl::expected<lease_renewal, store_error>> keepAlive(std::int64_t lease);

    // Waits until a key with `prefix` has changed after revision `afterRevision`, or for `timeout`.
    // Returns whether one has changed; also true if the store no longer has the history to tell,
    // and false if the store ends the watch early.
    virtual asio::awaitable<tl::expected<bool, store_error>>
    waitForChange(std::string prefix, std::int64_t afterRevision, duration timeout);

    // Reads the changes after `afterRevision` to keys with `prefix`. If there are none yet, the
    // store may delay its response for up to `wait`. Fails with `history_lost` if the store no
    // longer has the changes since that revision.
    virtual asio::awaitable<tl::expected<store_changes, store_error>>
    readChanges(std::string prefix, std::int64_t afterRevision, duration wait);

    // Revokes `lease` and deletes its keys. Succeeds if the lease has already ended.
    virtual asio::awaitable<tl::expected<void, store_error>> revokeLease(std::int64_t lease);
};

} // namespace gooseberrymoor
