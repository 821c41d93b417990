#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <cstdint>
#include <map>
#include <string>

// The keys, values, leases and revisions of the stand-in. Requests and responses use the JSON form
// of the etcd v3 API. A malformed request body throws an exception and changes nothing.
class store_state
{
public:
    // Handles the body of POST /v3/kv/range.
    std::string range(const std::string &body) const;

    // Handles the body of POST /v3/kv/txn. Throws if a put names an unknown or expired lease.
    std::string transact(const std::string &body);

    // Handles the body of POST /v3/lease/grant.
    std::string grantLease(const std::string &body, gooseberrymoor::time_point now);

    // Handles the body of POST /v3/lease/keepalive. The response for an unknown or expired lease
    // has no TTL.
    std::string keepAlive(const std::string &body, gooseberrymoor::time_point now);

    // Removes the leases that have expired by `now`, and their keys. Returns whether a key was
    // removed.
    bool expireLeases(gooseberrymoor::time_point now);

    // Returns the changes that the body of POST /v3/watch asks for; empty if there are none yet.
    std::string changes(const std::string &body) const;

    // The first line of a watch, which confirms that it was created.
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
        gooseberrymoor::time_point expiry;
    };

    void remove(const std::string &key);

    std::map<std::string, entry> m_entries;
    std::map<std::string, std::int64_t> m_removalRevisions; // last removal of each key
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastLease = 0;
    std::int64_t m_revision = 1;
};
