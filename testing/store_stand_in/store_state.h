#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <map>
#include <string>

// Keys, values, leases and revisions of the stand-in, changed through the JSON form of the etcd v3
// API. A malformed body throws, and changes nothing.
class store_state
{
public:
    // Answers the body of POST /v3/kv/range.
    std::string range(const std::string &body) const;

    // Answers the body of POST /v3/kv/txn. Throws if a put names a lease that has ended.
    std::string transact(const std::string &body);

    // Answers the body of POST /v3/lease/grant.
    std::string grantLease(const std::string &body, gooseberrymoor::time_point now);

    // Answers the body of POST /v3/lease/keepalive; a lease that has ended has no time to live.
    std::string keepAlive(const std::string &body, gooseberrymoor::time_point now);

    // Removes the leases that have ended by `now`, and their keys; returns whether a key went.
    bool expireLeases(gooseberrymoor::time_point now);

    // The answer to the body of POST /v3/watch if a key changed since; else empty.
    std::string changes(const std::string &body) const;

    // The line that confirms a watch.
    std::string watchCreatedLine() const;

private:
    struct entry
    {
        std::string value;
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };
    struct lease
    {
        gooseberrymoor::duration timeToLive {};
        gooseberrymoor::time_point ends;
    };

    void remove(const std::string &key);

    std::map<std::string, entry> m_entries;
    std::map<std::string, std::int64_t> m_removed; // revision of the last removal of a key
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastLease = 0;
    std::int64_t m_revision = 1;
};
