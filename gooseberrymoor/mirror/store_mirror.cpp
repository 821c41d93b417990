#include "gooseberrymoor/mirror/store_mirror.h"

#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/store/store_entry.h"

#include <algorithm>
#include <set>

namespace gooseberrymoor {

store_mirror::store_mirror(mirror_listener &listener, const store_availability &availability,
                           duration reregistrationTime)
    : m_listener(listener), m_availability(availability), m_reregistrationTime(reregistrationTime)
{
}

applied_changes store_mirror::onFullRead(const store_read &read, time_point now)
{
    std::set<std::string> present;
    for (const store_entry &each : read.entries) {
        present.insert(each.key);
        putValue(each.key, readableValue(each.value), each.modRevision);
    }
    std::vector<std::string> absent;
    for (const auto &[key, value] : m_entries) {
        if (!present.contains(key) && value.revision <= read.revision)
            absent.push_back(key);
    }
    for (const std::string &key : absent)
        scheduleRemoval(key, now);
    m_revision = std::max(m_revision, read.revision);
    onTime(now);
    return { m_revision, {} };
}

applied_changes store_mirror::onChanges(const std::vector<store_change> &changes,
                                        std::int64_t revision, time_point now)
{
    applied_changes applied { m_revision, {} };
    for (const store_change &each : changes) {
        if (each.value) {
            const std::string &value = readableValue(*each.value);
            if (putValue(each.key, value, each.modRevision))
                applied.changes.push_back({ each.key, value, each.modRevision });
            continue;
        }
        const auto found = m_entries.find(each.key);
        if (found != m_entries.end() && found->second.revision < each.modRevision) {
            scheduleRemoval(each.key, now);
            applied.changes.push_back(each);
        }
    }
    m_revision = std::max(m_revision, revision);
    onTime(now);
    return applied;
}

void store_mirror::onTime(time_point now)
{
    std::vector<std::string> due;
    for (const auto &[key, scheduledTime] : m_pendingRemovals) {
        if (dueTime(scheduledTime) <= now)
            due.push_back(key);
    }
    for (const std::string &key : due) {
        m_pendingRemovals.erase(key);
        m_entries.erase(key);
        m_listener.onRemoved(key);
    }
}

time_point store_mirror::nextTimedChange() const
{
    time_point next = time_point::max();
    for (const auto &[key, scheduledTime] : m_pendingRemovals)
        next = std::min(next, dueTime(scheduledTime));
    return next;
}

// `value`, or an empty one if it is too large for the listener.
const std::string &store_mirror::readableValue(const std::string &value) const
{
    static const std::string tooLarge;
    return value.size() <= m_listener.maxValueBytes() ? value : tooLarge;
}

// Returns whether the change is significant or cancels a pending removal. The copy already reflects
// all changes up to its revision: an older value that it lacks has been removed since.
bool store_mirror::putValue(const std::string &key, const std::string &value, std::int64_t revision)
{
    if (revision <= m_revision)
        return false;
    entry &known = m_entries[key];
    if (revision <= known.revision)
        return false;
    const bool wasPendingRemoval = m_pendingRemovals.erase(key) > 0;
    const bool isSignificant
        = known.revision == 0 || m_listener.isSignificantChange(known.value, value);
    known = { value, revision };
    if (isSignificant)
        m_listener.onValue(key, value, revision);
    return isSignificant || wasPendingRemoval;
}

void store_mirror::scheduleRemoval(const std::string &key, time_point now)
{
    const auto outage = m_availability.lastSuspectedOutage();
    m_pendingRemovals.try_emplace(key,
                                  outage ? std::max(now, *outage + m_reregistrationTime) : now);
}

// A later outage of the store delays a removal further, a later failure of this node's path does
// not.
time_point store_mirror::dueTime(time_point scheduledTime) const
{
    const auto outage = m_availability.lastOutage();
    return outage ? std::max(scheduledTime, *outage + m_reregistrationTime) : scheduledTime;
}

} // namespace gooseberrymoor
