#include "gooseberrymoor/tier/zone_coverage.h"

#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };

void put(replica_set &replicas, const std::string &service, const std::string &zone)
{
    replica entry;
    entry.id = service + "-" + zone;
    entry.service = service;
    entry.availabilityZone = zone;
    replicas.put(entry, start);
}

} // namespace

TEST_CASE("The zones with the shards of a configuration")
{
    replica_set replicas;
    routing_configuration configuration;
    configuration.routes.resize(2);
    configuration.routes[0].shards = { "s1", "s2" };
    configuration.routes[1].shards = { "s2", "s3" };
    for (const char *shard : { "s1", "s2", "s3" })
        put(replicas, shard, "a");
    put(replicas, "s1", "b");
    put(replicas, "s2", "b");
    put(replicas, "s1", "c");
    put(replicas, "other", "d");

    SUBCASE("are those that contain targets of at least half of the shards")
    {
        CHECK(zonesWithShards(replicas, configuration) == std::set<std::string> { "a", "b" });
    }
    SUBCASE("do not include a zone that is out of service")
    {
        replicas.setZonesOut({ "a" });
        CHECK(zonesWithShards(replicas, configuration) == std::set<std::string> { "b" });
    }
    SUBCASE("are none if no route has shards")
    {
        configuration.routes.clear();
        CHECK(zonesWithShards(replicas, configuration).empty());
    }
}
