#include "gooseberrymoor/query/snapshot_selector.h"

#include "gooseberrymoor/configuration/service_config.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration unavailable_period { 500 }; // until a snapshot is tried again

bool containsAll(const snapshot_config &snapshot, const std::vector<std::string> &shards)
{
    return std::ranges::all_of(shards, [&snapshot](const std::string &shard) {
        return snapshot.groupOfShard.contains(shard);
    });
}

} // namespace

const snapshot_config *snapshot_selector::choose(const service_config &service,
                                                 const std::vector<std::string> &shards,
                                                 time_point now) const
{
    if (service.snapshots.empty())
        return nullptr;
    const snapshot_config &newest = service.snapshots.back();
    if (!isUnavailable(service.name, newest.id, now))
        return &newest;
    const snapshot_config *fallback = chooseFallback(service, shards, newest.id, now);
    return fallback ? fallback : &newest;
}

const snapshot_config *snapshot_selector::chooseFallback(const service_config &service,
                                                         const std::vector<std::string> &shards,
                                                         const std::string &unavailable,
                                                         time_point now) const
{
    const auto isUsable = [&](const snapshot_config &snapshot) {
        return snapshot.id != unavailable && containsAll(snapshot, shards)
            && !isUnavailable(service.name, snapshot.id, now);
    };
    const auto newest
        = std::find_if(service.snapshots.rbegin(), service.snapshots.rend(), isUsable);
    return newest == service.snapshots.rend() ? nullptr : &*newest;
}

void snapshot_selector::markUnavailable(const std::string &service, const std::string &snapshot,
                                        time_point now)
{
    auto &snapshots = m_unavailableUntil[service];
    std::erase_if(snapshots, [now](const auto &each) { return each.second <= now; });
    snapshots[snapshot] = now + unavailable_period;
}

bool snapshot_selector::isUnavailable(const std::string &service, const std::string &snapshot,
                                      time_point now) const
{
    const auto snapshots = m_unavailableUntil.find(service);
    if (snapshots == m_unavailableUntil.end())
        return false;
    const auto found = snapshots->second.find(snapshot);
    return found != snapshots->second.end() && now < found->second;
}

} // namespace gooseberrymoor
