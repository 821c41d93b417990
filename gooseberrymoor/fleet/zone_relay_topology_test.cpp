#include "gooseberrymoor/fleet/zone_relay_topology.h"

#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/fleet/fleet_view.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "testing/silent_log.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
using name_list = std::vector<std::string>;

fleet_member makeMember(const std::string &name, const std::string &zone)
{
    fleet_member member;
    member.name = name;
    member.availabilityZone = zone;
    member.callerAddress = { "10.0.0.1", 80 };
    member.peerAddress = { "10.0.0.1", 81 };
    return member;
}

} // namespace

TEST_CASE("Updates of the store's contents in a fleet of three zones")
{
    silent_log log;
    peer_liveness liveness("a1", "a");
    fleet_view fleet(makeMember("a1", "a"), liveness, log);
    for (const char *name : { "a2", "b1", "b2", "b3", "c1", "c2" })
        fleet.onValue(std::string("nodes/") + name,
                      encodeFleetMember(makeMember(name, std::string(1, name[0]))), 1);
    liveness.setNodes(fleet.peerZones(), start);
    const zone_relay_topology topology(fleet, liveness);
    const name_list connected { "a2", "b1", "b2", "b3", "c1", "c2" };
    const auto receiveHeartbeat = [&](const char *name, bool leaving = false) {
        peer_report report;
        report.leaving = leaving;
        liveness.onHeartbeat(name, report, start);
    };

    SUBCASE("go from the reader to its own zone and to one node of each other zone")
    {
        for (const char *name : { "a2", "b1", "b2", "b3", "c1", "c2" })
            receiveHeartbeat(name);
        CHECK(topology.recipientsOfReader(connected, start) == name_list { "a2", "b1", "c1" });
        SUBCASE("that is not leaving")
        {
            receiveHeartbeat("b1", true);
            CHECK(topology.recipientsOfReader(connected, start) == name_list { "a2", "b2", "c1" });
        }
    }
    SUBCASE("skip a node whose heartbeats do not arrive")
    {
        receiveHeartbeat("b3");
        receiveHeartbeat("c2");
        CHECK(topology.recipientsOfReader(connected, start) == name_list { "a2", "b3", "c2" });
    }
    SUBCASE("go to any node of a zone without heartbeats")
    {
        CHECK(topology.recipientsOfReader(connected, start) == name_list { "a2", "b1", "c1" });
    }
    SUBCASE("from a reader in another zone are relayed within the own zone")
    {
        CHECK(topology.recipientsOfRelay(connected, "b1") == name_list { "a2" });
    }
    SUBCASE("from a reader in the own zone are not relayed")
    {
        CHECK(topology.recipientsOfRelay(connected, "a2").empty());
    }
}
