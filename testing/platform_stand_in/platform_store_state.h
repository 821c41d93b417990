#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Keys, leases, revisions and history of the platform's store, in its own words. Pure state.
class platform_store_state
{
public:
    // Answers GET /kv-range: at most `page_size` items after the key `after`.
    boost::json::object range(const std::string &prefix, const std::string &after) const;

    // Answers GET /kv-watch; nothing if that history is gone, and no events if there are none yet.
    std::optional<boost::json::object> changes(const std::string &prefix, std::int64_t after) const;

    // Answers POST /kv-txn: its status and body.
    std::pair<unsigned, boost::json::object> transact(const boost::json::object &body);

    std::int64_t grantLease(duration timeToLive, time_point now);

    // Renews a lease; its time, or nothing if it has ended.
    std::optional<duration> renew(std::int64_t lease, time_point now);

    // Ends a lease and removes its keys; whether it was there.
    bool endLease(std::int64_t lease);

    // Ends the leases whose time is over; whether a key went.
    bool expireLeases(time_point now);

    // Writes of operators and targets, past the calls.
    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void remove(const std::string &key);

    // Forgets what changed before now: a watch from before is told so.
    void compact() { m_compactedRevision = m_revision; }

    // The value of `key`, if it is there.
    std::optional<std::string> value(const std::string &key) const;

    // The time of the lease that holds `key`; nothing if none does.
    std::optional<duration> leaseTtlOf(const std::string &key) const;

    static constexpr std::size_t page_size = 7; // small, so that reads have several pages

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
        time_point ends {};
    };
    struct event
    {
        std::string key;
        std::optional<item> written; // nothing if the key was removed
        std::int64_t revision = 0;
    };

    static boost::json::object describe(const std::string &key, const item &each);

    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease_state> m_leases;
    std::vector<event> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_lastLease = 100;
};

} // namespace gooseberrymoor
