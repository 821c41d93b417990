#include "gooseberrymoor/membership/failure_detector.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>

namespace gooseberrymoor {

failure_detector::failure_detector(ownership_timing timing) : m_timing(timing) { }

void failure_detector::adopt(const cell_view &next, time_point now)
{
    std::erase_if(m_entries, [&next](const auto &each) { return !next.lists(each.first); });
    std::erase_if(m_ended, [&next](const member_id &each) { return !next.lists(each); });
    for (const member &each : next.members)
        m_entries.try_emplace(each.id(), entry { now, 0 });
}

void failure_detector::onAnswer(const member_id &sender, std::int64_t epoch, time_point sentAt)
{
    const auto found = m_entries.find(sender);
    if (found == m_entries.end())
        return;
    found->second.heard = std::max(found->second.heard, sentAt);
    found->second.epoch = std::max(found->second.epoch, epoch);
}

void failure_detector::onEnded(const member_id &ended)
{
    if (m_entries.contains(ended))
        m_ended.insert(ended);
}

void failure_detector::pardon(time_point now)
{
    for (auto &[id, each] : m_entries)
        each.heard = now;
}

time_point failure_detector::suspectSince(const member_id &id, time_point now) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return time_point::max();
    const time_point since = found->second.heard + m_timing.silence();
    return since <= now ? since : time_point::max();
}

bool failure_detector::isSuspect(const member_id &id, time_point now) const
{
    return suspectSince(id, now) != time_point::max();
}

bool failure_detector::hasReached(const member_id &id, std::int64_t epoch) const
{
    const auto found = m_entries.find(id);
    return hasEnded(id) || (found != m_entries.end() && found->second.epoch >= epoch);
}

} // namespace gooseberrymoor
