#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_change.h"
#include "gooseberrymoor/store/store_era.h"

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
// When the store comes back from an older copy of its data, a new era begins, in which revisions
// are given out again. Until the writers have written their keys again, the store is older than
// this copy. So at the start of an era, a value of the store replaces a known one only if its
// contents say that it isn't older, and a key that this copy knows as removed stays so. Keys that
// the store lacks are kept for the time in which writers write them again. What is written
// afterwards counts, unless its contents say that it is older than what was known before.
//
// Performs no I/O and reads no clock: the caller passes the time. Not thread-safe.
class store_mirror
{
public:
    // `listener` and `availability` must outlive the mirror. `reregistrationTime` is the time that
    // writers need to write their keys again after an outage; with 0, removals are never delayed.
    store_mirror(mirror_listener &listener, const store_availability &availability,
                 duration reregistrationTime);

    // Applies a read of all keys, as of `read.revision`. Reports no changes, since what a copy of
    // an earlier revision lacks is not known. If the read is of a later era than the copy, it
    // starts the era and is reported as a snapshot; a read of an earlier era is ignored.
    applied_changes onFullRead(const store_read &read, time_point now);

    // Applies the changes up to `revision`, which must be of the copy's era. Returns those that are
    // significant to the listener, and the first write of each key in this era.
    applied_changes onChanges(const std::vector<store_change> &changes, std::int64_t revision,
                              time_point now);

    // Applies the removals that are due. To be called only while the store serves: otherwise their
    // writers may be unable to write their keys again.
    void onTime(time_point now);

    // When the next removal is due; `time_point::max()` if none is pending.
    time_point nextTimedChange() const;

    // The store revision of the copy in its era; 0 before the first read.
    std::int64_t revision() const { return m_revision; }

    // The era of the copy; `first` before the first read.
    store_era era() const { return m_era; }

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
        // Whether the key has not been written in this era, as far as is known.
        bool isFromEarlierEra = false;
    };

    struct pending_removal
    {
        time_point scheduledTime {};
        bool wasRemoved = true; // false if the key was only absent at the start of the era
    };

    struct removed_value
    {
        std::string value;
        time_point removedAt {};
    };

    const std::string &readableValue(const std::string &value) const;
    bool putValue(const std::string &key, const std::string &value, std::int64_t revision);
    applied_changes startEra(const store_read &read, time_point now);
    void putAtEraStart(const std::string &key, const std::string &value, std::int64_t revision);
    bool isKnownAsRemoved(const std::string &key, const std::string &value) const;
    void forgetRemovedValues(time_point now);
    void scheduleRemoval(const std::string &key, time_point now);
    time_point dueTime(time_point scheduledTime) const;

    mirror_listener &m_listener;
    const store_availability &m_availability;
    duration m_reregistrationTime;
    store_era m_era = store_era::first;
    std::int64_t m_revision = 0;
    std::map<std::string, entry> m_entries;
    std::map<std::string, pending_removal> m_pendingRemovals; // by key
    std::map<std::string, removed_value> m_removed; // by key; the last values of removed keys
};

} // namespace gooseberrymoor
