#include "gooseberrymoor/fleet/zone_relay_topology.h"

#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/fleet/fleet_view.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "testing/silent_log.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
using names_list = std::vector<std::string>;

fleet_member memberOf(const std::string &name, const std::string &zone)
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
    fleet_view fleet(memberOf("a1", "a"), liveness, log);
    for (const char *name : { "a2", "b1", "b2", "b3", "c1", "c2" })
        fleet.onValue(std::string("nodes/") + name,
                      encodeFleetMember(memberOf(name, std::string(1, name[0]))), 1);
    liveness.setNodes(fleet.peerZones(), start);
    const zone_relay_topology relay(fleet, liveness);
    const names_list linked { "a2", "b1", "b2", "b3", "c1", "c2" };
    const auto hear = [&](const char *name, bool leaving = false) {
        peer_report report;
        report.leaving = leaving;
        liveness.onHeartbeat(name, report, start);
    };

    SUBCASE("go from the reader to its own zone and to one node of each other zone")
    {
        for (const char *name : { "a2", "b1", "b2", "b3", "c1", "c2" })
            hear(name);
        CHECK(relay.recipientsOfReader(linked, start) == names_list { "a2", "b1", "c1" });
        SUBCASE("that stays")
        {
            hear("b1", true);
            CHECK(relay.recipientsOfReader(linked, start) == names_list { "a2", "b2", "c1" });
        }
    }
    SUBCASE("go past a node that is not heard")
    {
        hear("b3");
        hear("c2");
        CHECK(relay.recipientsOfReader(linked, start) == names_list { "a2", "b3", "c2" });
    }
    SUBCASE("go to any node of a zone of which none is heard")
    {
        CHECK(relay.recipientsOfReader(linked, start) == names_list { "a2", "b1", "c1" });
    }
    SUBCASE("that come from another zone's reader go on in the own zone")
    {
        CHECK(relay.recipientsOfRelay(linked, "b1") == names_list { "a2" });
    }
    SUBCASE("that come from the own zone's reader go no further")
    {
        CHECK(relay.recipientsOfRelay(linked, "a2").empty());
    }
}
