#include "gooseberrymoor/mirror/store_mirror.h"

#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/store/store_entry.h"

#include <algorithm>
#include <set>

namespace gooseberrymoor {

namespace {

// Time in which writers write their keys again after the store came back from an older copy.
constexpr duration rewrite_time { 2500 };
// How long the last values of removed keys are kept. The store's copies are some seconds old.
constexpr duration removed_value_lifetime { 60'000 };

} // namespace

store_mirror::store_mirror(mirror_listener &listener, const store_availability &availability,
                           duration reregistrationTime)
    : m_listener(listener), m_availability(availability), m_reregistrationTime(reregistrationTime)
{
}

applied_changes store_mirror::onFullRead(const store_read &read, time_point now)
{
    if (m_revision == 0)
        m_era = read.era;
    if (read.era < m_era)
        return { m_revision, {} };
    if (read.era > m_era)
        return startEra(read, now);
    std::set<std::string> present;
    for (const store_entry &each : read.entries) {
        present.insert(each.key);
        putValue(each.key, readableValue(each.value), each.modRevision);
    }
    std::vector<std::string> absent;
    for (const auto &[key, value] : m_entries) {
        const bool mayBeRewritten = value.isFromEarlierEra && m_pendingRemovals.contains(key);
        if (!present.contains(key) && value.revision <= read.revision && !mayBeRewritten)
            absent.push_back(key);
    }
    for (const std::string &key : absent)
        scheduleRemoval(key, now);
    m_revision = std::max(m_revision, read.revision);
    onTime(now);
    return { m_revision, {} };
}

applied_changes store_mirror::startEra(const store_read &read, time_point now)
{
    m_era = read.era;
    m_revision = read.revision;
    forgetRemovedValues(now);
    applied_changes applied { read.revision, {}, true };
    std::set<std::string> present;
    for (const store_entry &each : read.entries) {
        const std::string &value = readableValue(each.value);
        present.insert(each.key);
        applied.changes.push_back({ each.key, value, each.modRevision });
        if (!isKnownAsRemoved(each.key, value))
            putAtEraStart(each.key, value, each.modRevision);
    }
    for (auto &[key, known] : m_entries) {
        if (present.contains(key))
            continue;
        known.revision = read.revision;
        known.isFromEarlierEra = true;
        const auto [pending, isNew] = m_pendingRemovals.try_emplace(key);
        if (isNew || !pending->second.wasRemoved)
            pending->second = { now + rewrite_time, false };
    }
    onTime(now);
    return applied;
}

// Takes over a value that the store had at the start of an era, unless a later one is known.
void store_mirror::putAtEraStart(const std::string &key, const std::string &value,
                                 std::int64_t revision)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        m_entries[key] = { value, revision, true };
        m_removed.erase(key);
        m_listener.onValue(key, value, revision);
        return;
    }
    entry &known = found->second;
    const auto pending = m_pendingRemovals.find(key);
    if (pending != m_pendingRemovals.end() && !pending->second.wasRemoved)
        m_pendingRemovals.erase(pending);
    known.revision = revision;
    known.isFromEarlierEra = true;
    const value_order order = m_listener.orderOf(value, known.value);
    if (order == value_order::older || order == value_order::unknown)
        return;
    const bool isSignificant = m_listener.isSignificantChange(known.value, value);
    known.value = value;
    if (isSignificant)
        m_listener.onValue(key, value, revision);
}

// Whether `key` was removed before the era began, and `value` is not of a later start of its
// writer.
bool store_mirror::isKnownAsRemoved(const std::string &key, const std::string &value) const
{
    const auto removed = m_removed.find(key);
    return removed != m_removed.end()
        && m_listener.orderOf(value, removed->second.value) != value_order::later_start;
}

void store_mirror::forgetRemovedValues(time_point now)
{
    std::erase_if(m_removed, [now](const auto &each) {
        return now - each.second.removedAt > removed_value_lifetime;
    });
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
    for (const auto &[key, pending] : m_pendingRemovals) {
        if (dueTime(pending.scheduledTime) <= now)
            due.push_back(key);
    }
    if (due.empty())
        return;
    forgetRemovedValues(now);
    for (const std::string &key : due) {
        m_pendingRemovals.erase(key);
        if (auto removed = m_entries.extract(key))
            m_removed[key] = { std::move(removed.mapped().value), now };
        m_listener.onRemoved(key);
    }
}

time_point store_mirror::nextTimedChange() const
{
    time_point next = time_point::max();
    for (const auto &[key, pending] : m_pendingRemovals)
        next = std::min(next, dueTime(pending.scheduledTime));
    return next;
}

// `value`, or an empty one if it is too large for the listener.
const std::string &store_mirror::readableValue(const std::string &value) const
{
    static const std::string tooLarge;
    return value.size() <= m_listener.maxValueBytes() ? value : tooLarge;
}

// Returns whether peers must learn of the change: it is significant, cancels a pending removal, or
// is the first write of the key in this era. The copy already reflects all changes up to its
// revision: an older value that it lacks has been removed since.
bool store_mirror::putValue(const std::string &key, const std::string &value, std::int64_t revision)
{
    if (revision <= m_revision)
        return false;
    entry &known = m_entries[key];
    if (revision <= known.revision)
        return false;
    const bool wasPendingRemoval = m_pendingRemovals.erase(key) > 0;
    const bool isFirstOfEra = known.isFromEarlierEra;
    if (isFirstOfEra && m_listener.orderOf(value, known.value) == value_order::older) {
        known.revision = revision; // its writer writes again what it wrote before
        return true;
    }
    const bool isSignificant
        = known.revision == 0 || m_listener.isSignificantChange(known.value, value);
    known = { value, revision };
    m_removed.erase(key);
    if (isSignificant)
        m_listener.onValue(key, value, revision);
    return isSignificant || wasPendingRemoval || isFirstOfEra;
}

void store_mirror::scheduleRemoval(const std::string &key, time_point now)
{
    const auto outage = m_availability.lastSuspectedOutage();
    const time_point due = outage ? std::max(now, *outage + m_reregistrationTime) : now;
    const auto [pending, isNew] = m_pendingRemovals.try_emplace(key, pending_removal { due });
    if (!isNew && !pending->second.wasRemoved)
        pending->second = { std::min(due, pending->second.scheduledTime), true };
}

// A later outage of the store delays a removal further, a later failure of this node's path does
// not.
time_point store_mirror::dueTime(time_point scheduledTime) const
{
    const auto outage = m_availability.lastOutage();
    return outage ? std::max(scheduledTime, *outage + m_reregistrationTime) : scheduledTime;
}

} // namespace gooseberrymoor
