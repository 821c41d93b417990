#include "gooseberrymoor/replica/replica_subset.h"

#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/routing/routing_configuration.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
const std::vector<std::string> zones { "a", "b", "c" };

replica entryOf(const std::string &id, const std::string &zone)
{
    replica entry;
    entry.id = id;
    entry.service = "standings";
    entry.availabilityZone = zone;
    return entry;
}

routing_configuration limitedTo(unsigned connections)
{
    routing_configuration configuration;
    configuration.services["standings"].connectionLimit = connections;
    return configuration;
}

std::string zoneOf(std::size_t number)
{
    return zones[number % zones.size()];
}

std::string nodeName(std::size_t number)
{
    return "node-" + std::to_string(number);
}

// Ids of the targets held by node `number` of `nodes`.
std::set<std::string> heldBy(const replica_set &replicas, std::size_t number, std::size_t nodes,
                             unsigned limit)
{
    replica_subset subset(replicas, nodeName(number), zoneOf(number));
    subset.configure(limitedTo(limit));
    subset.setNodes(nodes);
    std::set<std::string> held;
    for (const auto &[id, target] : replicas.all()) {
        if (subset.holds(*target))
            held.insert(id);
    }
    return held;
}

void addTargets(replica_set &replicas, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        replicas.put(entryOf("r-" + std::to_string(i), zoneOf(i)), start);
}

} // namespace

TEST_CASE("The subset of targets that a node holds connections to")
{
    replica_set replicas;
    addTargets(replicas, 3);
    replica_subset subset(replicas, "node-0", "a");

    SUBCASE("contains all targets, if their limit allows a connection per node")
    {
        subset.configure(limitedTo(40));
        subset.setNodes(5);
        for (const auto &[id, target] : replicas.all()) {
            CHECK(subset.holds(*target));
            CHECK(subset.connectionLimit(*target) == 4);
        }
    }
    SUBCASE("with more nodes than connections")
    {
        subset.configure(limitedTo(68));
        subset.setNodes(71);

        SUBCASE("contains the targets of the node's own zone")
        {
            CHECK(subset.holds(*replicas.find("r-0")));
            CHECK_FALSE(subset.holds(*replicas.find("r-1")));
            CHECK_FALSE(subset.holds(*replicas.find("r-2")));
        }
        SUBCASE("still allows one connection on demand to each other target")
        {
            CHECK(subset.connectionLimit(*replicas.find("r-1")) == 1);
        }
        SUBCASE("changes when its targets are draining")
        {
            replica leaving = replicas.find("r-0")->entry;
            leaving.draining = true;
            replicas.put(leaving, start);
            CHECK_FALSE(subset.holds(*replicas.find("r-0")));
            CHECK(subset.holds(*replicas.find("r-1")) != subset.holds(*replicas.find("r-2")));
        }
        SUBCASE("excludes targets whose zone is taken out of service")
        {
            replicas.setZonesOut({ "a" });
            CHECK_FALSE(subset.holds(*replicas.find("r-0")));
        }
        SUBCASE("assumes the lowest limit for a service that is not configured yet")
        {
            replica later = entryOf("l-0", "a");
            later.service = "later";
            replicas.put(later, start);
            later.id = "l-1";
            later.availabilityZone = "b";
            replicas.put(later, start);
            CHECK(subset.holds(*replicas.find("l-0")));
            CHECK_FALSE(subset.holds(*replicas.find("l-1")));
        }
    }
    SUBCASE("spreads targets evenly over the nodes of all zones")
    {
        CHECK(rc::check("no target is held by more nodes than it has connections", [] {
            replica_set targets;
            addTargets(targets, *rc::gen::inRange<std::size_t>(1, 9));
            const auto nodes = *rc::gen::inRange<std::size_t>(1, 200);
            const std::size_t least = 4 * (nodes / targets.all().size() + zones.size());
            const auto limit
                = static_cast<unsigned>(*rc::gen::inRange<std::size_t>(least, 4 * least));
            std::map<std::string, unsigned> holders;
            for (std::size_t i = 0; i < nodes; ++i) {
                for (const std::string &id : heldBy(targets, i, nodes, limit))
                    ++holders[id];
            }
            for (const auto &[id, count] : holders)
                RC_ASSERT(count <= limit);
        }));
    }
    SUBCASE("changes little when a target is added")
    {
        CHECK(rc::check("a new target displaces at most one held target", [] {
            replica_set targets;
            addTargets(targets, *rc::gen::inRange<std::size_t>(2, 12));
            const auto node = *rc::gen::inRange<std::size_t>(0, 200);
            const auto before = heldBy(targets, node, 200, 68);
            targets.put(entryOf("new", zoneOf(*rc::gen::inRange<std::size_t>(0, 3))), start);
            const auto after = heldBy(targets, node, 200, 68);
            std::size_t displaced = 0;
            for (const std::string &id : before)
                displaced += after.contains(id) ? 0 : 1;
            RC_ASSERT(displaced <= 1);
        }));
    }
}

TEST_CASE("A node that callers are not sent to")
{
    replica_set replicas;
    addTargets(replicas, 3);
    replica_subset subset(replicas, nodeName(0), "a");
    subset.configure(limitedTo(64));
    subset.setNodes(6, false);
    const auto target = replicas.find("r-0");

    SUBCASE("keeps no connections, but may open one")
    {
        CHECK(!subset.holds(*target));
        CHECK(subset.connectionLimit(*target) == 1);
    }
    SUBCASE("leaves its share to the others")
    {
        replica_subset other(replicas, nodeName(1), "a");
        other.configure(limitedTo(64));
        other.setNodes(6);
        CHECK(other.holds(*target));
        CHECK(other.connectionLimit(*target) == 5);
    }
}
