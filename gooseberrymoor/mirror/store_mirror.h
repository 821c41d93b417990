#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

class mirror_listener;
struct applied_changes;
class store_availability;
struct store_read;

// This node's copy of the keys below one prefix of the store. A value is replaced only by one with
// a greater revision, and a removed key returns only with a value written after the copy's
// revision.
//
// After an outage of the store, removals are delayed by the re-registration time: leases may have
// expired during the outage, and writers that are still alive write their keys again within that
// time. A failed call of this node, which may be due to its path alone, delays only the removals
// that are read after it; an outage of the store delays those that already wait as well.
// Performs no I/O and reads no clock: the caller passes the time. Not thread-safe.
class store_mirror
{
public:
    // `listener` and `availability` must outlive the mirror. `reregistrationTime` is the time that
    // writers need to write their keys again after an outage; with 0, removals are never delayed.
    store_mirror(mirror_listener &listener, const store_availability &availability,
                 duration reregistrationTime);

    // Applies a read of all keys, as of `read.revision`. Reports no changes, since what a copy of
    // an earlier revision lacks is not known.
    applied_changes onFullRead(const store_read &read, time_point now);

    // Applies the changes up to `revision`. Returns those that are significant to the listener.
    applied_changes onChanges(const std::vector<store_change> &changes, std::int64_t revision,
                              time_point now);

    // Applies the removals that are due. To be called only while the store serves: otherwise their
    // writers may be unable to write their keys again.
    void onTime(time_point now);

    // When the next removal is due; `time_point::max()` if none is pending.
    time_point nextTimedChange() const;

    // The store revision of the copy; 0 before the first read.
    std::int64_t revision() const { return m_revision; }

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
    };

    const std::string &readableValue(const std::string &value) const;
    bool putValue(const std::string &key, const std::string &value, std::int64_t revision);
    void scheduleRemoval(const std::string &key, time_point now);
    time_point dueTime(time_point scheduledTime) const;

    mirror_listener &m_listener;
    const store_availability &m_availability;
    duration m_reregistrationTime;
    std::int64_t m_revision = 0;
    std::map<std::string, entry> m_entries;
    std::map<std::string, time_point> m_pendingRemovals; // by key; when to apply them
};

} // namespace gooseberrymoor
