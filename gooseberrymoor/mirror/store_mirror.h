#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

class mirror_listener;
struct store_read;

// This node's copy of the keys of the store below one prefix. Values only move to newer revisions.
// A removed key counts as removed only once the store has been well for a while: what lapsed during
// an outage comes back within that time if its writer lives. Pure state: events and the time in.
// Not thread-safe.
class store_mirror
{
public:
    // `listener` must outlive the mirror. `reregistrationTime`: how long writers take to come back
    // after an outage; 0 lets every removal count at once.
    store_mirror(mirror_listener &listener, duration reregistrationTime);

    // All keys as they are at `read.revision`.
    void onRead(const store_read &read, time_point now);

    // What changed up to `revision`. Returns those changes that say anything new.
    std::vector<store_change> onChanges(const std::vector<store_change> &changes,
                                        std::int64_t revision, time_point now);

    // A call to the store failed.
    void onOutage(time_point now);

    // Removals whose time has come count from now on.
    void onTime(time_point now);

    // When `onTime` has something to do; the far future if never.
    time_point nextWake() const;

    // How long the store has been well; the longest time if it never failed.
    duration storeHealthyFor(time_point now) const;

    // The store's revision that the copy stands at; 0 before the first read.
    std::int64_t revision() const { return m_revision; }

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
    };

    bool putValue(const std::string &key, const std::string &value, std::int64_t revision);
    void removeLater(const std::string &key, time_point now);

    mirror_listener &m_listener;
    duration m_returnTime;
    std::int64_t m_revision = 0;
    std::map<std::string, entry> m_entries;
    std::map<std::string, time_point> m_removals; // keys that are gone, and when that counts
    time_point m_lastOutage {};
    bool m_hadOutage = false;
};

} // namespace gooseberrymoor
