#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The keys, leases, revisions and history of the platform's store. Requests and responses are in
// the JSON form of its API. Does no I/O.
class platform_store_state
{
public:
    // Handles GET /kv-range: returns at most `page_size` items after the key `after`.
    boost::json::object range(const std::string &prefix, const std::string &after) const;

    // Handles GET /kv-watch. Returns nothing if the store does not have the history after `after`,
    // and an object without events if there are none yet.
    std::optional<boost::json::object> changes(const std::string &prefix, std::int64_t after) const;

    // Handles POST /kv-txn; returns the status and body.
    std::pair<unsigned, boost::json::object> transact(const boost::json::object &body);

    std::int64_t grantLease(duration timeToLive, time_point now);

    // Renews a lease and returns its time to live, or nothing if it does not exist.
    std::optional<duration> renew(std::int64_t lease, time_point now);

    // Revokes a lease and removes its keys. Returns whether it existed.
    bool revokeLease(std::int64_t lease);

    // Removes the leases that have expired by `now`, and their keys. Returns whether any lease
    // did.
    bool expireLeases(time_point now);

    // Writes of operators and targets, which do not pass through the API.
    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void remove(const std::string &key);

    // Marks the history up to now as compacted: a watch from an earlier revision fails with status
    // 410.
    void compact() { m_compactedRevision = m_contents.revision; }

    // Copies the keys, leases and the revision.
    void copy();

    // Goes back to the last copy and begins a new era: what was written since is lost, and
    // revisions and lease ids are given out again. The leases of the copy run anew.
    void restoreCopy(time_point now);

    // The era, from 1 on.
    std::uint64_t era() const { return m_era; }

    // The store's revision.
    std::int64_t revision() const { return m_contents.revision; }

    // The lease that `key` is attached to; 0 if there is none.
    std::int64_t leaseOf(const std::string &key) const;

    // The value of `key`; nothing if it does not exist.
    std::optional<std::string> value(const std::string &key) const;

    // The time to live of the lease that `key` is attached to; nothing if there is none.
    std::optional<duration> leaseTtlOf(const std::string &key) const;

    static constexpr std::size_t page_size = 7; // small, so that tests read several pages

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease_state
    {
        duration timeToLive {};
        time_point expiry {};
    };
    struct event
    {
        std::string key;
        std::optional<item> newItem; // empty if the key was removed
        std::int64_t revision = 0;
    };

    // What a copy holds.
    struct contents
    {
        std::map<std::string, item> items;
        std::map<std::int64_t, lease_state> leases;
        std::int64_t revision = 1;
        std::int64_t lastLease = 100;
    };

    static boost::json::object describe(const std::string &key, const item &each);

    contents m_contents;
    contents m_copy;
    std::vector<event> m_history; // of this era
    std::int64_t m_compactedRevision = 0;
    std::uint64_t m_era = 1;
};

} // namespace gooseberrymoor
