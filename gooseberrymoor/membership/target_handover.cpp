#include "gooseberrymoor/membership/target_handover.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>

namespace gooseberrymoor {

target_handover::target_handover(member_id self, duration hold)
    : m_self(std::move(self)), m_gracePeriod(hold)
{
}

void target_handover::setTargets(std::set<std::string> targets, const cell_view &view)
{
    m_configured = std::move(targets);
    std::erase_if(m_entries,
                  [this](const auto &each) { return !m_configured.contains(each.first); });
    addEntries(view);
}

void target_handover::onViewChange(const cell_view &last, const cell_view &next, time_point now)
{
    const bool removal = last.epoch == 0 || last.removals != next.removals;
    if (removal)
        m_lastRemoval = now;
    if (!next.hasMember(m_self)) {
        m_entries.clear();
        return;
    }
    updateEntries(next, removal, now);
    addEntries(next);
}

void target_handover::restart(member_id self)
{
    m_self = std::move(self);
    m_entries.clear();
}

void target_handover::onReleased(const member_id &peer, std::int64_t epoch,
                                 const std::vector<std::string> &targets)
{
    for (const std::string &target : targets) {
        const auto found = m_entries.find(target);
        // A release of an epoch before this ownership began says nothing of what came between.
        if (found != m_entries.end() && epoch >= found->second.since)
            found->second.unreleased.erase(peer);
    }
}

void target_handover::release(std::string_view target)
{
    const auto found = m_entries.find(target);
    if (found != m_entries.end())
        m_entries.erase(found);
}

bool target_handover::isHeld(std::string_view target, time_point now) const
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end())
        return false;
    const entry &each = found->second;
    return each.held || (each.unreleased.empty() && now >= each.readyAt);
}

std::vector<std::string> target_handover::unreleasedBy(const std::string &peer) const
{
    std::vector<std::string> result;
    for (const auto &[target, each] : m_entries) {
        if (std::ranges::find(each.unreleased, peer, &member_id::name) != each.unreleased.end())
            result.push_back(target);
    }
    return result;
}

std::size_t target_handover::pendingCount(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_entries, [&](const auto &each) { return !isHeld(each.first, now); }));
}

void target_handover::updateEntries(const cell_view &next, bool removal, time_point now)
{
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        entry &kept = each->second;
        kept.held = isHeld(each->first, now);
        // What is held stays so under any view until it is released.
        if (!kept.held && !owns(next, each->first)) {
            each = m_entries.erase(each);
            continue;
        }
        const auto gone = std::erase_if(
            kept.unreleased, [&next](const member_id &peer) { return !next.hasMember(peer); });
        // Without a removal, what is gone has left by itself after all its work.
        if (gone > 0 && removal)
            kept.readyAt = std::max(kept.readyAt, now + m_gracePeriod);
        ++each;
    }
}

void target_handover::addEntries(const cell_view &view)
{
    if (!view.hasMember(m_self))
        return;
    std::set<member_id> others;
    for (const member &each : view.members) {
        if (each.id() != m_self)
            others.insert(each.id());
    }
    for (const std::string &target : m_configured) {
        if (owns(view, target) && !m_entries.contains(target))
            m_entries[target] = { view.epoch, others, m_lastRemoval + m_gracePeriod, false };
    }
}

bool target_handover::owns(const cell_view &view, const std::string &target) const
{
    const member *owner = ownerOf(view, target);
    return owner && owner->id() == m_self;
}

} // namespace gooseberrymoor
