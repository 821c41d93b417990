#include "gooseberrymoor/mirror/store_mirror.h"

#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/store/store_entry.h"

#include <algorithm>
#include <set>

namespace gooseberrymoor {

namespace {

constexpr duration longest_well { 24 * 3'600'000 };

} // namespace

store_mirror::store_mirror(mirror_listener &listener, duration reregistrationTime)
    : m_listener(listener), m_returnTime(reregistrationTime)
{
}

void store_mirror::onRead(const store_read &read, time_point now)
{
    std::set<std::string> present;
    for (const store_entry &each : read.entries) {
        present.insert(each.key);
        putValue(each.key, each.value, each.modRevision);
    }
    std::vector<std::string> missing;
    for (const auto &[key, value] : m_entries) {
        if (!present.contains(key) && value.revision <= read.revision)
            missing.push_back(key);
    }
    for (const std::string &key : missing)
        removeLater(key, now);
    m_revision = std::max(m_revision, read.revision);
    onTime(now);
}

std::vector<store_change> store_mirror::onChanges(const std::vector<store_change> &changes,
                                                  std::int64_t revision, time_point now)
{
    std::vector<store_change> news;
    for (const store_change &each : changes) {
        if (each.value) {
            if (putValue(each.key, *each.value, each.modRevision))
                news.push_back(each);
            continue;
        }
        const auto found = m_entries.find(each.key);
        if (found != m_entries.end() && found->second.revision < each.modRevision) {
            removeLater(each.key, now);
            news.push_back(each);
        }
    }
    m_revision = std::max(m_revision, revision);
    onTime(now);
    return news;
}

void store_mirror::onOutage(time_point now)
{
    m_lastOutage = now;
    m_hadOutage = true;
    for (auto &[key, when] : m_removals)
        when = now + m_returnTime;
}

void store_mirror::onTime(time_point now)
{
    std::vector<std::string> due;
    for (const auto &[key, when] : m_removals) {
        if (when <= now)
            due.push_back(key);
    }
    for (const std::string &key : due) {
        m_removals.erase(key);
        m_entries.erase(key);
        m_listener.onRemoved(key);
    }
}

duration store_mirror::storeHealthyFor(time_point now) const
{
    return m_hadOutage ? now - m_lastOutage : longest_well;
}

time_point store_mirror::nextWake() const
{
    time_point next = time_point::max();
    for (const auto &[key, when] : m_removals)
        next = std::min(next, when);
    return next;
}

// Returns whether the value says anything new.
bool store_mirror::putValue(const std::string &key, const std::string &value, std::int64_t revision)
{
    entry &known = m_entries[key];
    if (revision <= known.revision)
        return false;
    const bool wasLeaving = m_removals.erase(key) > 0;
    const bool isNew = known.revision == 0 || m_listener.isSignificantChange(known.value, value);
    known = { value, revision };
    if (isNew)
        m_listener.onValue(key, value, revision);
    return isNew || wasLeaving;
}

void store_mirror::removeLater(const std::string &key, time_point now)
{
    const bool isWell = !m_hadOutage || now - m_lastOutage >= m_returnTime;
    m_removals.try_emplace(key, isWell ? now : m_lastOutage + m_returnTime);
}

} // namespace gooseberrymoor
