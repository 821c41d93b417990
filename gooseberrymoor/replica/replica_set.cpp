#include "gooseberrymoor/replica/replica_set.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

bool isSameInstance(const replica &left, const replica &right)
{
    return left.incarnation == right.incarnation && left.service == right.service
        && left.address == right.address;
}

} // namespace

void replica_set::put(const replica &entry, time_point now)
{
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
    ++m_generation;
    m_byId.erase(found);
    auto &serviceTargets = m_byService[removedTarget->entry.service];
    std::erase(serviceTargets, removedTarget);
    if (serviceTargets.empty())
        m_byService.erase(removedTarget->entry.service);
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
    return !target.removed && !target.entry.draining
        && !m_zonesOut.contains(target.entry.availabilityZone);
}

std::shared_ptr<known_replica> replica_set::find(const std::string &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace gooseberrymoor
