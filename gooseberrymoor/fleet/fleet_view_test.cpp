#include "gooseberrymoor/fleet/fleet_view.h"

#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/fleet/peer_liveness.h"
#include "testing/silent_log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

const time_point start { duration(100'000) };
constexpr double fast_cores = 0.5;
constexpr double slow_cores = 0.12;
constexpr std::size_t max_addresses = 64;

fleet_member memberOf(const std::string &name, const std::string &zone, double cores, int port)
{
    fleet_member member;
    member.name = name;
    member.availabilityZone = zone;
    member.processorCores = cores;
    member.callerAddress = { "10.0.0.1", static_cast<std::uint16_t>(port) };
    member.peerAddress = { "10.0.0.1", static_cast<std::uint16_t>(port + 1000) };
    return member;
}

// A fleet with two fast and four slow nodes in each of three zones; this node is a slow one of "a".
// Callers' ports: fast nodes 1xx, slow nodes 2xx, the last digit is the node's number in its zone.
struct fixture
{
    fixture()
    {
        int zoneNumber = 0;
        for (const char *zone : { "a", "b", "c" }) {
            for (int i = 0; i < 6; ++i) {
                const bool isFast = i < 2;
                const int port = (isFast ? 100 : 200) + 10 * zoneNumber + i;
                add(memberOf(zone + std::to_string(i), zone, isFast ? fast_cores : slow_cores,
                             port));
            }
            ++zoneNumber;
        }
    }

    void add(const fleet_member &member)
    {
        view.onValue("fleet/" + member.name, encodeFleetMember(member), 1);
    }

    void leave(const std::string &name, const std::string &zone, int port)
    {
        fleet_member member = memberOf(name, zone, fast_cores, port);
        member.leaving = true;
        add(member);
    }

    std::vector<int> portsFor(const std::set<std::string> &zones)
    {
        std::vector<int> ports;
        for (const endpoint &each : view.callerAddresses(zones, max_addresses, start))
            ports.push_back(each.port);
        std::sort(ports.begin(), ports.end());
        return ports;
    }

    silent_log log;
    peer_liveness liveness { "own", "a" };
    fleet_view view { memberOf("own", "a", slow_cores, 299), liveness, log };
};

} // namespace

TEST_CASE("Callers of a fleet whose nodes have unequal processors")
{
    fixture env;

    SUBCASE("are sent to the fast nodes of their zone")
    {
        CHECK(env.portsFor({ "b" }) == std::vector<int> { 110, 111 });
    }
    SUBCASE("of several zones are sent to the fast nodes of these")
    {
        CHECK(env.portsFor({ "a", "c" }) == std::vector<int> { 100, 101, 120, 121 });
    }
    SUBCASE("are sent to all nodes of their zone when only one fast node is left there")
    {
        env.leave("b0", "b", 110);
        CHECK(env.portsFor({ "b" }) == std::vector<int> { 111, 212, 213, 214, 215 });
    }
    SUBCASE("of a zone without nodes are sent to the fast nodes of all zones")
    {
        CHECK(env.portsFor({ "d" }) == std::vector<int> { 100, 101, 110, 111, 120, 121 });
    }
}

TEST_CASE("The nodes that serve callers")
{
    fixture env;
    const std::set<std::string> fast { "a0", "a1", "b0", "b1", "c0", "c1" };
    CHECK(env.view.servingNodes(start) == fast);

    SUBCASE("are all nodes of a zone with less than two fast ones left")
    {
        env.leave("b0", "b", 110);
        const std::set<std::string> serving = env.view.servingNodes(start);
        CHECK(serving.size() == 9);
        CHECK(serving.contains("b5"));
        CHECK(!serving.contains("a5"));
    }
}

TEST_CASE("Callers of a fleet whose nodes are equal are sent to all nodes of their zone")
{
    silent_log log;
    peer_liveness liveness("own", "a");
    fleet_view view(memberOf("own", "a", 1, 200), liveness, log);
    for (int i = 0; i < 3; ++i) {
        const fleet_member member = memberOf("n" + std::to_string(i), "a", 1, 201 + i);
        view.onValue("fleet/" + member.name, encodeFleetMember(member), 1);
    }
    CHECK(view.callerAddresses({ "a" }, max_addresses, start).size() == 4);
}
