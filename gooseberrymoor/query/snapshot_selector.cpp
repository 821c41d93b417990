#include "gooseberrymoor/query/snapshot_selector.h"

#include "gooseberrymoor/configuration/service_config.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration missing_memory { 500 }; // after which a snapshot is tried again

bool hasAll(const snapshot_config &snapshot, const std::vector<std::string> &shards)
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
    if (!isMissing(service.name, newest.id, now))
        return &newest;
    const snapshot_config *other = chooseOther(service, shards, newest.id, now);
    return other ? other : &newest;
}

const snapshot_config *snapshot_selector::chooseOther(const service_config &service,
                                                      const std::vector<std::string> &shards,
                                                      const std::string &missing,
                                                      time_point now) const
{
    const auto mayBeThere = [&](const snapshot_config &snapshot) {
        return snapshot.id != missing && hasAll(snapshot, shards)
            && !isMissing(service.name, snapshot.id, now);
    };
    const auto newest
        = std::find_if(service.snapshots.rbegin(), service.snapshots.rend(), mayBeThere);
    return newest == service.snapshots.rend() ? nullptr : &*newest;
}

void snapshot_selector::markMissing(const std::string &service, const std::string &snapshot,
                                    time_point now)
{
    auto &snapshots = m_missingUntil[service];
    std::erase_if(snapshots, [now](const auto &each) { return each.second <= now; });
    snapshots[snapshot] = now + missing_memory;
}

bool snapshot_selector::isMissing(const std::string &service, const std::string &snapshot,
                                  time_point now) const
{
    const auto snapshots = m_missingUntil.find(service);
    if (snapshots == m_missingUntil.end())
        return false;
    const auto found = snapshots->second.find(snapshot);
    return found != snapshots->second.end() && now < found->second;
}

} // namespace gooseberrymoor
