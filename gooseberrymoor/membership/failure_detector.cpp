#include "gooseberrymoor/membership/failure_detector.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>

namespace gooseberrymoor {

failure_detector::failure_detector(ownership_timing timing) : m_timing(timing) { }

void failure_detector::onViewChange(const cell_view &next, time_point now)
{
    std::erase_if(m_members, [&next](const auto &each) { return !next.hasMember(each.first); });
    std::erase_if(m_terminated, [&next](const member_id &each) { return !next.hasMember(each); });
    for (const member &each : next.members)
        m_members.try_emplace(each.id(), member_state { now, 0 });
}

void failure_detector::onReply(const member_id &sender, std::int64_t epoch, time_point sentAt)
{
    const auto found = m_members.find(sender);
    if (found == m_members.end())
        return;
    found->second.lastHeard = std::max(found->second.lastHeard, sentAt);
    found->second.epoch = std::max(found->second.epoch, epoch);
}

void failure_detector::onTerminated(const member_id &terminated)
{
    if (m_members.contains(terminated))
        m_terminated.insert(terminated);
}

void failure_detector::restartTimeouts(time_point now)
{
    for (auto &[id, each] : m_members)
        each.lastHeard = now;
}

time_point failure_detector::suspectedSince(const member_id &id, time_point now) const
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return time_point::max();
    const time_point since = found->second.lastHeard + m_timing.suspicionTimeout();
    return since <= now ? since : time_point::max();
}

bool failure_detector::isSuspected(const member_id &id, time_point now) const
{
    return suspectedSince(id, now) != time_point::max();
}

bool failure_detector::hasReachedEpoch(const member_id &id, std::int64_t epoch) const
{
    const auto found = m_members.find(id);
    return isTerminated(id) || (found != m_members.end() && found->second.epoch >= epoch);
}

} // namespace gooseberrymoor
