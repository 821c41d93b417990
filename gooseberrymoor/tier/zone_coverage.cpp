#include "gooseberrymoor/tier/zone_coverage.h"

#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <map>

namespace gooseberrymoor {

namespace {

std::set<std::string> shardsOf(const routing_configuration &configuration)
{
    std::set<std::string> shards;
    for (const route &each : configuration.routes)
        shards.insert(each.shards.begin(), each.shards.end());
    return shards;
}

std::set<std::string> eligibleZones(const replica_set &replicas, const std::string &service)
{
    std::set<std::string> zones;
    for (const auto &target : replicas.of(service)) {
        if (replicas.isEligible(*target))
            zones.insert(target->entry.availabilityZone);
    }
    return zones;
}

} // namespace

std::set<std::string> zonesWithShards(const replica_set &replicas,
                                      const routing_configuration &configuration)
{
    const std::set<std::string> shards = shardsOf(configuration);
    std::map<std::string, std::size_t> shardCounts;
    for (const std::string &shard : shards) {
        for (const std::string &zone : eligibleZones(replicas, shard))
            ++shardCounts[zone];
    }
    std::set<std::string> covered;
    for (const auto &[zone, count] : shardCounts) {
        if (2 * count >= shards.size())
            covered.insert(zone);
    }
    return covered;
}

} // namespace gooseberrymoor
