#include "gooseberrymoor/membership/ownership.h"

#include "gooseberrymoor/membership/ownership_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace gooseberrymoor;

namespace {

using simulation = ownership_simulation;

constexpr duration startup_time { 4000 }; // long enough for nine nodes to join
constexpr duration fault_span { 12'000 };
constexpr duration max_fault_duration { 4000 };
constexpr duration settle_time { 9000 };
constexpr int all_targets = simulation::target_count;

enum class fault_kind {
    pause,
    kill_and_restart,
    kill_and_replace, // restarts the node at another address
    kill,
    isolation,
    blocked_outgoing,
    blocked_incoming,
    blocked_pair,
    store_outage,
    message_loss,
    lost_store_replies,
    slow_network,
    graceful_stop_and_restart,
    join,
    zone_out,
    partition, // separates the nodes below this one from the store and the other nodes
};
constexpr int fault_kind_count = 16;
constexpr int max_nodes = 9;

// The RapidCheck size at which integers are generated over their full range.
constexpr int full_size = 100;

// The kind, node, start and duration of a fault. A tuple of integers, so that RapidCheck can shrink
// it.
using random_fault = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t, std::uint16_t>;

// Blocks the messages from and to `node`, in the given directions, or unblocks them.
void setIsolated(simulation &cell, int node, bool outgoing, bool incoming, bool isolated)
{
    for (int other = 0; other < max_nodes; ++other) {
        if (outgoing && other != node)
            cell.setBlocked(node, other, isolated);
        if (incoming && other != node)
            cell.setBlocked(other, node, isolated);
    }
}

// Separates the nodes below `first` from the store and the other nodes, or reconnects them.
void setPartitioned(simulation &cell, int first, bool partitioned)
{
    for (int node = 0; node < first; ++node) {
        cell.setStoreBlocked(node, partitioned);
        for (int other = first; other < max_nodes; ++other) {
            cell.setBlocked(node, other, partitioned);
            cell.setBlocked(other, node, partitioned);
        }
    }
}

// Begins the fault if `active` is true, ends it otherwise.
void setFault(simulation &cell, fault_kind kind, int node, duration length, bool active)
{
    switch (kind) {
    case fault_kind::pause:
        if (active)
            cell.pause(node, length);
        break;
    case fault_kind::kill_and_restart:
    case fault_kind::kill_and_replace:
        if (active)
            cell.kill(node);
        else
            cell.start(node, kind == fault_kind::kill_and_replace);
        break;
    case fault_kind::kill:
        if (active)
            cell.kill(node);
        break;
    case fault_kind::isolation:
        setIsolated(cell, node, true, true, active);
        break;
    case fault_kind::blocked_outgoing:
        setIsolated(cell, node, true, false, active);
        break;
    case fault_kind::blocked_incoming:
        setIsolated(cell, node, false, true, active);
        break;
    case fault_kind::blocked_pair:
        cell.setBlocked(node, (node + 1) % max_nodes, active);
        break;
    case fault_kind::store_outage:
        cell.setStoreUp(!active);
        break;
    case fault_kind::message_loss:
        cell.setLossPercent(active ? 30 : 0);
        break;
    case fault_kind::lost_store_replies:
        cell.setLostStoreReplyPercent(active ? 60 : 0);
        break;
    case fault_kind::slow_network:
        cell.setMaxDelay(active ? duration(150) : duration(5));
        break;
    case fault_kind::graceful_stop_and_restart:
        if (active)
            cell.stopGracefully(node);
        else
            cell.start(node);
        break;
    case fault_kind::join:
        if (active)
            cell.start(node);
        break;
    case fault_kind::zone_out:
        cell.setZoneOut(simulation::zoneOf(node), active);
        break;
    case fault_kind::partition:
        setPartitioned(cell, node, active);
        break;
    }
}

fault_kind kindOf(const random_fault &fault)
{
    return static_cast<fault_kind>(std::get<0>(fault) % fault_kind_count);
}

// Starts the cell, injects the faults, and gives the cell time to recover.
void runWithFaults(simulation &cell, const std::vector<random_fault> &faults)
{
    for (const random_fault &fault : faults) {
        const auto &[randomKind, randomNode, randomStart, randomLength] = fault;
        const fault_kind kind = kindOf(fault);
        const int node = randomNode % max_nodes;
        const duration length(1 + randomLength % max_fault_duration.count());
        const duration at = startup_time + duration(randomStart % fault_span.count());
        cell.at(at, [&cell, kind, node, length] { setFault(cell, kind, node, length, true); });
        cell.at(at + length,
                [&cell, kind, node, length] { setFault(cell, kind, node, length, false); });
    }
    cell.runFor(startup_time + fault_span + max_fault_duration + settle_time);
}

// Returns whether the fault kills a node that does not come back at its address. The cell may then
// lose its majority for good.
bool isPermanentFailure(const random_fault &fault)
{
    const fault_kind kind = kindOf(fault);
    return kind == fault_kind::kill || kind == fault_kind::kill_and_replace;
}

// A cell with its faults, generated by RapidCheck.
struct random_scenario
{
    std::uint32_t seed = 0;
    int nodes = 0;
    std::vector<random_fault> faults;
};

rc::Gen<random_scenario> anyScenario()
{
    return rc::gen::exec([] {
        random_scenario scenario;
        scenario.seed = *rc::gen::resize(full_size, rc::gen::arbitrary<std::uint32_t>());
        scenario.nodes = *rc::gen::inRange(3, max_nodes + 1);
        const auto count = *rc::gen::inRange<std::size_t>(4, 24);
        const auto faults = rc::gen::container<std::vector<random_fault>>(
            count, rc::gen::arbitrary<random_fault>());
        scenario.faults = *rc::gen::resize(full_size, faults);
        return scenario;
    });
}

std::vector<random_fault> randomFaults(std::uint64_t seed, int count)
{
    std::mt19937_64 random(seed);
    std::vector<random_fault> faults;
    for (int i = 0; i < count; ++i) {
        const std::uint64_t bits = random();
        faults.emplace_back(bits, bits >> 8, bits >> 16, bits >> 32);
    }
    return faults;
}

} // namespace

TEST_CASE("No two nodes run requests at one target")
{
    SUBCASE("under any combination of faults")
    {
        CHECK(rc::check([] {
            const random_scenario scenario = *anyScenario();
            simulation cell(scenario.nodes, scenario.seed);
            runWithFaults(cell, scenario.faults);
            RC_ASSERT(!cell.history().overlap());
        }));
    }
    SUBCASE("and every target has an owner again after the faults")
    {
        CHECK(rc::check([] {
            random_scenario scenario = *anyScenario();
            std::erase_if(scenario.faults, isPermanentFailure);
            simulation cell(scenario.nodes, scenario.seed);
            runWithFaults(cell, scenario.faults);
            RC_ASSERT(cell.ownedTargetCount() == all_targets);
        }));
    }
    SUBCASE("which the newest known view alone does not guarantee")
    {
        int overlaps = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            simulation cell(5, seed, start_rule::view_only);
            runWithFaults(cell, randomFaults(seed, 10));
            overlaps += cell.history().overlap() ? 1 : 0;
        }
        CHECK(overlaps > 0);
        MESSAGE("runs with overlapping requests without leases, of 20: " << overlaps);
    }
}

TEST_CASE("A cell starts")
{
    for (const int nodes : { 1, 2, 3, 9 }) {
        simulation cell(nodes, 7);
        cell.runFor(startup_time);
        CHECK(cell.ownedTargetCount() == all_targets);
    }
}

namespace {

// Runs until `done` returns true, checked each virtual millisecond, for at most `limit`. Returns
// the time that it took.
duration timeUntil(simulation &cell, duration limit, const std::function<bool()> &done)
{
    const duration start = cell.now();
    while (cell.now() - start < limit && !done())
        cell.runFor(duration(1));
    return cell.now() - start;
}

bool allOwned(const simulation &cell)
{
    return cell.ownedTargetCount() == all_targets;
}

// Returns the node that holds the most targets, and so has the most to hand over.
int busiestNode(const simulation &cell, int nodes)
{
    std::map<int, int> held;
    for (const std::string &target : simulation::targets())
        ++held[cell.holderOf(target)];
    const auto busiest
        = std::ranges::max_element(held, {}, [](const auto &each) { return each.second; });
    for (int node = 0; node < nodes; ++node) {
        if (cell.processNumber(node) == busiest->first)
            return node;
    }
    return -1;
}

std::vector<std::string> heldBy(const simulation &cell, int process)
{
    std::vector<std::string> held;
    for (const std::string &target : simulation::targets()) {
        if (cell.holderOf(target) == process)
            held.push_back(target);
    }
    return held;
}

// Returns the longest time, over `targets`, from the last request start by `process` to the first
// by another process at or after `from`.
duration longestGap(const simulation &cell, const std::vector<std::string> &targets, int process,
                    duration from)
{
    duration longest {};
    for (const std::string &target : targets) {
        const auto first = cell.history().firstStart(target, from, process);
        const auto last = cell.history().lastStart(target, first ? *first : cell.now());
        if (first && last)
            longest = std::max(longest, *first - last->start);
    }
    return longest;
}

// Upper bound for the removal of a silent member: the suspicion timeout, the proposers' jitter,
// promises that are requested each heartbeat interval, a read of the store, and the
// compare-and-swap.
const duration removal_bound = simulation::timing().suspicionTimeout() + 5 * simulation::heartbeat
    + simulation::store_poll_interval + duration(100);
const duration takeover_bound
    = removal_bound + simulation::timing().gracePeriod() + 2 * simulation::heartbeat;
constexpr std::uint64_t seeds = 20;

} // namespace

TEST_CASE("The targets of a failed node get a new owner")
{
    std::function<void(simulation &, int)> fault;
    SUBCASE("after it was killed")
    {
        fault = [](simulation &cell, int node) { cell.kill(node); };
    }
    SUBCASE("after it was paused")
    {
        fault = [](simulation &cell, int node) { cell.pause(node, duration(10'000)); };
    }
    SUBCASE("after it was isolated from the other nodes")
    {
        fault = [](simulation &cell, int node) { setIsolated(cell, node, true, true, true); };
    }
    SUBCASE("after it stopped receiving messages")
    {
        fault = [](simulation &cell, int node) { setIsolated(cell, node, false, true, true); };
    }
    SUBCASE("after it was killed and restarted")
    {
        fault = [](simulation &cell, int node) {
            cell.kill(node);
            cell.start(node);
        };
    }
    SUBCASE("after it was killed and replaced at another address")
    {
        fault = [](simulation &cell, int node) {
            cell.kill(node);
            cell.start(node, true);
        };
    }
    duration longest {};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation cell(5, seed);
        cell.runFor(startup_time);
        REQUIRE(allOwned(cell));
        const int node = busiestNode(cell, 5);
        const int failed = cell.processNumber(node);
        fault(cell, node);
        const duration elapsed = timeUntil(
            cell, duration(8000), [&] { return allOwned(cell) && heldBy(cell, failed).empty(); });
        CHECK(elapsed <= takeover_bound);
        CHECK(!cell.history().overlap());
        longest = std::max(longest, elapsed);
    }
    MESSAGE("longest takeover: " << longest.count() << " virtual ms");
}

TEST_CASE("A node hands its targets over")
{
    std::function<void(simulation &, int)> departure;
    SUBCASE("when it stops gracefully")
    {
        departure = [](simulation &cell, int node) {
            cell.stopGracefully(node);
            cell.runFor(duration(3000));
            CHECK(cell.processNumber(node) == -1);
        };
    }
    SUBCASE("when its availability zone is taken out")
    {
        departure = [](simulation &cell, int node) {
            const auto held = heldBy(cell, cell.processNumber(node));
            cell.setZoneOut(simulation::zoneOf(node), true);
            const duration elapsed = timeUntil(cell, duration(8000), [&] {
                return cell.ownershipOf(node)->view().find("n" + std::to_string(node))->leaving;
            });
            // Two nodes of the zone may propose at the same time; one of them has to try again.
            CHECK(elapsed <= 4 * simulation::heartbeat);
            cell.runFor(duration(3000));
            CHECK(allOwned(cell));
            CHECK(heldBy(cell, cell.processNumber(node)).empty());

            cell.setZoneOut(simulation::zoneOf(node), false);
            cell.runFor(duration(3000));
            CHECK(heldBy(cell, cell.processNumber(node)) == held);
        };
    }
    duration longest {};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation cell(5, seed);
        cell.runFor(startup_time);
        REQUIRE(allOwned(cell));
        const int node = busiestNode(cell, 5);
        const int process = cell.processNumber(node);
        const auto held = heldBy(cell, process);
        const duration start = cell.now();
        departure(cell, node);
        CHECK(allOwned(cell));
        // Running requests finish first; no lease has to expire.
        const duration gap = longestGap(cell, held, process, start);
        CHECK(gap <= simulation::longest_request + 2 * simulation::heartbeat);
        CHECK(!cell.history().overlap());
        longest = std::max(longest, gap);
    }
    MESSAGE("longest gap at a target: " << longest.count() << " virtual ms");
}

TEST_CASE("New members that reach the store cannot replace a majority that does not")
{
    simulation cell(3, 19);
    cell.runFor(startup_time);
    setPartitioned(cell, 2, true);
    for (int node = 3; node < 9; ++node)
        cell.start(node);
    cell.runFor(duration(12'000));
    CHECK(heldBy(cell, cell.processNumber(0)).size() + heldBy(cell, cell.processNumber(1)).size()
          > 0);
    CHECK(!cell.ownershipOf(3)->isInView());
    CHECK(!cell.history().overlap());

    setPartitioned(cell, 2, false);
    cell.runFor(duration(12'000));
    CHECK(cell.ownershipOf(3)->isInView());
    CHECK(allOwned(cell));
    CHECK(!cell.history().overlap());
}

TEST_CASE("A frozen node in a zone that is taken out is marked by the others")
{
    simulation cell(5, 3);
    cell.runFor(startup_time);
    cell.pause(1, duration(10'000));
    cell.setZoneOut(simulation::zoneOf(1), true);
    const duration elapsed = timeUntil(cell, duration(8000), [&] {
        const member *listed = cell.ownershipOf(0)->view().find("n1");
        return !listed || listed->leaving;
    });
    CHECK(elapsed <= 6 * simulation::heartbeat);
}

TEST_CASE("Live members keep their targets during a store outage")
{
    simulation cell(5, 11);
    cell.runFor(startup_time);
    const int node = busiestNode(cell, 5);
    const auto held = heldBy(cell, cell.processNumber(node));
    cell.setStoreUp(false);
    cell.runFor(duration(5000));
    CHECK(allOwned(cell));

    SUBCASE("and the targets of a member that fails have no owner until the store is back")
    {
        cell.kill(node);
        cell.runFor(duration(5000));
        CHECK(cell.ownedTargetCount() == all_targets - static_cast<int>(held.size()));
        cell.setStoreUp(true);
        CHECK(timeUntil(cell, duration(8000), [&] { return allOwned(cell); }) <= takeover_bound);
    }
    SUBCASE("and a member that was paused resumes")
    {
        cell.pause(node, duration(2000));
        cell.runFor(duration(3000));
        CHECK(allOwned(cell));
    }
    CHECK(!cell.history().overlap());
}

TEST_CASE("A small cell recovers")
{
    SUBCASE("of two members when one fails and the store is up")
    {
        simulation cell(2, 5);
        cell.runFor(startup_time);
        cell.kill(0);
        cell.runFor(duration(1));
        CHECK(timeUntil(cell, duration(8000), [&] { return allOwned(cell); }) <= takeover_bound);
        CHECK(!cell.history().overlap());
    }
    SUBCASE("of three members when two fail one after the other")
    {
        simulation cell(3, 5);
        cell.runFor(startup_time);
        cell.kill(0);
        cell.runFor(duration(4000));
        cell.kill(1);
        cell.runFor(duration(4000));
        CHECK(allOwned(cell));
        CHECK(!cell.history().overlap());
    }
    SUBCASE("of one member that restarts")
    {
        simulation cell(1, 5);
        cell.runFor(startup_time);
        cell.kill(0);
        cell.start(0);
        cell.runFor(startup_time);
        CHECK(allOwned(cell));
        CHECK(!cell.history().overlap());
    }
}

TEST_CASE("A cell recovers after all its nodes were killed at once")
{
    simulation cell(9, 13);
    cell.runFor(startup_time);
    for (int node = 0; node < 9; ++node) {
        cell.kill(node);
        cell.start(node);
    }
    cell.runFor(startup_time);
    CHECK(allOwned(cell));
    CHECK(!cell.history().overlap());
}

TEST_CASE("The message rate of an idle cell is bounded")
{
    constexpr int nodes = 9;
    simulation cell(nodes, 17);
    cell.runFor(startup_time);
    const std::uint64_t before = cell.messageCount();
    constexpr int intervals = 50;
    cell.runFor(intervals * simulation::heartbeat);
    const std::uint64_t perInterval = (cell.messageCount() - before) / intervals;
    CHECK(perInterval <= 2 * nodes * (nodes - 1)); // a lease request and its reply
    MESSAGE("messages per heartbeat interval of an idle cell of 9: " << perInterval);
}
