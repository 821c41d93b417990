#include "gooseberrymoor/replica/replica_set.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_removed_replicas = 4096; // that are remembered

bool isSameInstance(const replica &left, const replica &right)
{
    return left.incarnation == right.incarnation && left.service == right.service
        && left.address == right.address;
}

} // namespace

void replica_set::put(const replica &received, time_point now)
{
    replica entry = received;
    if (entry.incarnation == 0)
        entry.incarnation = lastIncarnation(entry.id);
    const auto known = find(entry.id);
    if (known && isSameInstance(known->entry, entry)) {
        if (known->entry.coldRemaining != entry.coldRemaining)
            known->coldUntil = now + entry.coldRemaining;
        if (known->entry.draining != entry.draining)
            ++m_generation;
        known->entry = entry;
        return;
    }
    remove(entry.id);
    ++m_generation;
    auto added = std::make_shared<known_replica>();
    added->entry = entry;
    added->coldUntil = now + entry.coldRemaining;
    if (const auto earlier = m_removed.extract(entry.id);
        earlier && earlier.mapped().incarnation == entry.incarnation)
        added->backpressure = earlier.mapped().backpressure;
    m_byId[entry.id] = added;
    auto &serviceTargets = m_byService[entry.service];
    const auto position = std::find_if(serviceTargets.begin(), serviceTargets.end(),
                                       [&](const auto &each) { return each->entry.id > entry.id; });
    serviceTargets.insert(position, std::move(added));
}

void replica_set::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return;
    const auto removedTarget = found->second;
    removedTarget->removed = true;
    remember(*removedTarget);
    ++m_generation;
    m_byId.erase(found);
    auto &serviceTargets = m_byService[removedTarget->entry.service];
    std::erase(serviceTargets, removedTarget);
    if (serviceTargets.empty())
        m_byService.erase(removedTarget->entry.service);
}

// The incarnation of `id` that was put last; 0 if none is known.
std::int64_t replica_set::lastIncarnation(const std::string &id) const
{
    if (const auto known = find(id))
        return known->entry.incarnation;
    const auto removed = m_removed.find(id);
    return removed == m_removed.end() ? 0 : removed->second.incarnation;
}

// Without an incarnation, a later start could not be told from the one that asked.
void replica_set::remember(const known_replica &target)
{
    if (target.entry.incarnation == 0)
        return;
    m_removed[target.entry.id] = { target.entry.incarnation, target.backpressure };
    if (m_removed.size() <= max_removed_replicas)
        return;
    const auto forgetsEarlier = [](const auto &left, const auto &right) {
        const bool leftIsSet = left.second.backpressure.isSet();
        const bool rightIsSet = right.second.backpressure.isSet();
        if (leftIsSet != rightIsSet)
            return !leftIsSet;
        return left.second.incarnation < right.second.incarnation;
    };
    m_removed.erase(std::min_element(m_removed.begin(), m_removed.end(), forgetsEarlier));
}

backpressure_change replica_set::onReply(known_replica &target, const reply_signals &signals,
                                         double jitter, time_point now)
{
    const backpressure_change change = target.backpressure.onReply(signals, jitter, now);
    if (change.leavingStarted)
        ++m_generation;
    if (target.removed && (change.leavingStarted || change.backoffStarted))
        remember(target);
    return change;
}

void replica_set::setZonesOut(std::set<std::string> zones)
{
    m_zonesOut = std::move(zones);
    ++m_generation;
}

const std::vector<std::shared_ptr<known_replica>> &replica_set::of(const std::string &service) const
{
    static const std::vector<std::shared_ptr<known_replica>> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

bool replica_set::isEligible(const known_replica &target) const
{
    return !target.removed && !target.entry.draining && !target.backpressure.isLeaving()
        && !m_zonesOut.contains(target.entry.availabilityZone);
}

bool replica_set::mayReceive(const known_replica &target, time_point now) const
{
    return isEligible(target) && target.backpressure.mayReceive(target.health.outstanding(), now);
}

std::shared_ptr<known_replica> replica_set::find(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace gooseberrymoor
