#include "gooseberrymoor/membership/target_handover.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <algorithm>

namespace gooseberrymoor {

target_handover::target_handover(member_id self, duration gracePeriod)
    : m_self(std::move(self)), m_gracePeriod(gracePeriod)
{
}

void target_handover::setTargets(std::set<std::string> targets, const cell_view &view)
{
    m_configuredTargets = std::move(targets);
    std::erase_if(m_targets,
                  [this](const auto &each) { return !m_configuredTargets.contains(each.first); });
    addOwnedTargets(view);
}

void target_handover::onViewChange(const cell_view &last, const cell_view &next, time_point now)
{
    const bool hasRemoval = last.epoch == 0 || last.removals != next.removals;
    if (hasRemoval)
        m_lastRemoval = now;
    if (!next.hasMember(m_self)) {
        m_targets.clear();
        return;
    }
    updateTargets(next, hasRemoval, now);
    addOwnedTargets(next);
}

void target_handover::restart(member_id self)
{
    m_self = std::move(self);
    m_targets.clear();
}

void target_handover::onReleased(const member_id &peer, std::int64_t epoch,
                                 const std::vector<std::string> &targets)
{
    for (const std::string &target : targets) {
        const auto found = m_targets.find(target);
        // A release in an earlier epoch does not cover what the peer sent between that epoch and
        // the one in which this member became the owner.
        if (found != m_targets.end() && epoch >= found->second.ownedSince)
            found->second.unreleased.erase(peer);
    }
}

void target_handover::release(std::string_view target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        m_targets.erase(found);
}

bool target_handover::isHeld(std::string_view target, time_point now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return false;
    const target_state &state = found->second;
    return state.held || (state.unreleased.empty() && now >= state.readyAt);
}

std::vector<std::string> target_handover::unreleasedBy(const std::string &peer) const
{
    std::vector<std::string> result;
    for (const auto &[target, state] : m_targets) {
        if (std::ranges::find(state.unreleased, peer, &member_id::name) != state.unreleased.end())
            result.push_back(target);
    }
    return result;
}

std::size_t target_handover::pendingCount(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [&](const auto &each) { return !isHeld(each.first, now); }));
}

void target_handover::updateTargets(const cell_view &next, bool hasRemoval, time_point now)
{
    for (auto each = m_targets.begin(); each != m_targets.end();) {
        target_state &state = each->second;
        state.held = isHeld(each->first, now);
        // A target that is held stays held under any view until it is released.
        if (!state.held && !ownsIn(next, each->first)) {
            each = m_targets.erase(each);
            continue;
        }
        const auto gone = std::erase_if(
            state.unreleased, [&next](const member_id &peer) { return !next.hasMember(peer); });
        // Without a removal, members that are gone have left by themselves, after their last
        // request had ended.
        if (gone > 0 && hasRemoval)
            state.readyAt = std::max(state.readyAt, now + m_gracePeriod);
        ++each;
    }
}

void target_handover::addOwnedTargets(const cell_view &view)
{
    if (!view.hasMember(m_self))
        return;
    std::set<member_id> others;
    for (const member &each : view.members) {
        if (each.id() != m_self)
            others.insert(each.id());
    }
    for (const std::string &target : m_configuredTargets) {
        if (ownsIn(view, target) && !m_targets.contains(target))
            m_targets[target] = { view.epoch, others, m_lastRemoval + m_gracePeriod, false };
    }
}

bool target_handover::ownsIn(const cell_view &view, const std::string &target) const
{
    const member *owner = ownerOf(view, target);
    return owner && owner->id() == m_self;
}

} // namespace gooseberrymoor
