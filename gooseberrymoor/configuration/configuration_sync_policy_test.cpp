#include "gooseberrymoor/configuration/configuration_sync_policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr duration tick { 10 };
constexpr duration hop_latency { 10 };
constexpr duration call_latency { 10 };
const time_point start_time(duration(1'000'000));

// Availability of the simulated store.
enum class store_state {
    up,
    refusing, // calls fail at once
    silent, // calls time out
};

enum class message_type {
    announcement,
    request,
    update,
};

struct simulated_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    message_type type = message_type::announcement;
    std::int64_t revision = 0;
    time_point deliverAt;
    bool reachesStore = true;
};

struct simulated_call
{
    store_action action = store_action::wait;
    time_point began;
    time_point ends;
};

struct simulated_node
{
    std::unique_ptr<configuration_sync_policy> syncPolicy;
    std::int64_t activeRevision = 0;
    std::int64_t lastReadRevision = 0;
    std::int64_t newestRevisionAtStart = 0;
    std::optional<simulated_call> call;
    time_point nextAnnouncement;
    bool storeCutOff = false;
    bool readSinceStart = false;
};

// Simulates nodes, links and a store in virtual time; only the sync policy is production code.
class sync_simulation
{
public:
    sync_simulation(std::size_t nodes, sync_timing timing, bool linked = true)
        : m_timing(timing), m_nodes(nodes), m_linked(linked)
    {
        for (std::size_t each = 0; each < nodes; ++each)
            restart(each);
    }

    void restart(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        node = simulated_node {};
        ++m_starts;
        node.syncPolicy = std::make_unique<configuration_sync_policy>(
            nameOfNode(index), m_timing, static_cast<std::uint32_t>(m_starts), m_now);
        node.nextAnnouncement = m_now;
        node.newestRevisionAtStart = newestRevision;
    }

    void commit() { ++newestRevision; }
    void setStore(store_state state) { m_store = state; }
    void setStoreCutOff(std::size_t node, bool cutOff) { m_nodes[node].storeCutOff = cutOff; }

    // Nodes of different partitions are not linked.
    void setPartition(std::size_t node, int partition) { m_partitions[node] = partition; }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += tick)
            step();
    }

    bool allUpdated() const
    {
        return std::ranges::all_of(m_nodes, [&](const simulated_node &node) {
            return node.activeRevision == newestRevision;
        });
    }

    // Runs until all nodes have the newest revision; returns the time taken, at most `longest`.
    duration timeUntilAllUpdated(duration longest)
    {
        const time_point began = m_now;
        while (!allUpdated() && m_now - began < longest)
            run(tick);
        return m_now - began;
    }

    const simulated_node &node(std::size_t index) const { return m_nodes[index]; }
    time_point now() const { return m_now; }

    std::int64_t newestRevision = 1;
    int calls = 0;
    int updates = 0;
    bool revisionDecreased = false; // the active revision decreased at some node
    // A node reported being current without a revision, or after a read of the store with one older
    // than the newest at the node's start.
    bool servedStale = false;

private:
    static std::string nameOfNode(std::size_t index) { return "n" + std::to_string(index); }

    bool canReachStore(const simulated_node &node) const
    {
        return m_store == store_state::up && !node.storeCutOff;
    }
    bool areLinked(std::size_t a, std::size_t b)
    {
        return m_linked && m_partitions[a] == m_partitions[b];
    }

    void step()
    {
        deliverDueMessages();
        for (std::size_t each = 0; each < m_nodes.size(); ++each) {
            stepCall(each);
            if (m_now >= m_nodes[each].nextAnnouncement) {
                announce(each);
                m_nodes[each].nextAnnouncement = m_now + m_timing.announce;
            }
            checkCurrent(each);
        }
    }

    void checkCurrent(std::size_t index)
    {
        const simulated_node &node = m_nodes[index];
        if (node.syncPolicy->isCurrent() && node.readSinceStart
            && node.activeRevision < node.newestRevisionAtStart)
            servedStale = true;
        if (node.syncPolicy->isCurrent() && node.activeRevision == 0)
            servedStale = true;
    }

    void stepCall(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        if (node.call)
            finishCall(index);
        if (node.call)
            return;
        const planned_store_action plan = node.syncPolicy->nextStoreAction(m_now);
        if (plan.action == store_action::wait)
            return;
        ++calls;
        const bool isRead = plan.action == store_action::read;
        node.call
            = simulated_call { plan.action, m_now, isRead ? m_now + call_latency : plan.until };
    }

    void finishCall(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        const simulated_call call = *node.call;
        if (!canReachStore(node)) {
            const bool silent = m_store == store_state::silent || node.storeCutOff;
            if (!silent || m_now - call.began >= m_timing.call) {
                node.call.reset();
                node.syncPolicy->onStoreFailure(m_now);
            }
            return;
        }
        const bool changed
            = call.action == store_action::watch && node.lastReadRevision < newestRevision;
        if (m_now < call.ends && !changed)
            return;
        node.call.reset();
        if (call.action == store_action::watch) {
            node.syncPolicy->onWatch(changed, call.began, m_now);
            return;
        }
        node.lastReadRevision = newestRevision;
        node.readSinceStart = true;
        node.syncPolicy->onRead(m_now);
        activate(index, newestRevision);
    }

    void activate(std::size_t index, std::int64_t revision)
    {
        simulated_node &node = m_nodes[index];
        if (revision <= node.activeRevision)
            return;
        node.activeRevision = revision;
        node.syncPolicy->onActivated(revision);
        announce(index);
    }

    void announce(std::size_t from)
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from)
                send({ from,
                       to,
                       message_type::announcement,
                       m_nodes[from].activeRevision,
                       {},
                       true });
        }
    }

    void send(simulated_message message)
    {
        if (!areLinked(message.from, message.to))
            return;
        message.deliverAt = m_now + hop_latency;
        message.reachesStore = m_nodes[message.from].syncPolicy->reachesStore();
        m_messages.push_back(message);
    }

    void deliverDueMessages()
    {
        std::vector<simulated_message> due;
        std::erase_if(m_messages, [&](const simulated_message &each) {
            if (each.deliverAt <= m_now)
                due.push_back(each);
            return each.deliverAt <= m_now;
        });
        for (const simulated_message &each : due) {
            if (areLinked(each.from, each.to))
                receive(each);
        }
    }

    void receive(const simulated_message &message)
    {
        simulated_node &node = m_nodes[message.to];
        const std::string peer = nameOfNode(message.from);
        const std::int64_t before = node.activeRevision;
        switch (message.type) {
        case message_type::announcement:
            reply(message,
                  node.syncPolicy->onAnnouncement(peer, message.revision, message.reachesStore,
                                                  m_now));
            break;
        case message_type::request:
            reply(message, node.syncPolicy->onUpdateRequest(peer, message.revision, m_now));
            break;
        case message_type::update:
            ++updates;
            node.syncPolicy->onUpdate(peer, m_now);
            activate(message.to, message.revision);
            break;
        }
        revisionDecreased = revisionDecreased || node.activeRevision < before;
    }

    void reply(const simulated_message &to, peer_reply step)
    {
        const std::int64_t revision = m_nodes[to.to].activeRevision;
        if (step == peer_reply::announce)
            send({ to.to, to.from, message_type::announcement, revision, {}, true });
        if (step == peer_reply::ask)
            send({ to.to, to.from, message_type::request, revision, {}, true });
        if (step == peer_reply::answer)
            send({ to.to, to.from, message_type::update, revision, {}, true });
    }

    sync_timing m_timing;
    std::vector<simulated_node> m_nodes;
    std::map<std::size_t, int> m_partitions;
    std::vector<simulated_message> m_messages;
    store_state m_store = store_state::up;
    time_point m_now = start_time;
    int m_starts = 0;
    bool m_linked;
};

// Event of a generated history.
enum class history_event {
    commit,
    restart,
    partition,
    rejoin,
    store_refuses,
    store_silent,
    store_up,
    cut_off,
    reconnect,
};

struct history_step
{
    history_event event = history_event::commit;
    int node = 0;
    int waitMs = 0;
};

rc::Gen<history_step> arbitraryStep()
{
    return rc::gen::build<history_step>(
        rc::gen::set(&history_step::event,
                     rc::gen::element(history_event::commit, history_event::commit,
                                      history_event::restart, history_event::partition,
                                      history_event::rejoin, history_event::store_refuses,
                                      history_event::store_silent, history_event::store_up,
                                      history_event::cut_off, history_event::reconnect)),
        rc::gen::set(&history_step::node, rc::gen::inRange(0, 5)),
        rc::gen::set(&history_step::waitMs, rc::gen::inRange(0, 6000)));
}

void applyStep(sync_simulation &cell, const history_step &step)
{
    const auto node = static_cast<std::size_t>(step.node);
    switch (step.event) {
    case history_event::commit:
        cell.commit();
        break;
    case history_event::restart:
        cell.restart(node);
        break;
    case history_event::partition:
        cell.setPartition(node, 1);
        break;
    case history_event::rejoin:
        cell.setPartition(node, 0);
        break;
    case history_event::store_refuses:
        cell.setStore(store_state::refusing);
        break;
    case history_event::store_silent:
        cell.setStore(store_state::silent);
        break;
    case history_event::store_up:
        cell.setStore(store_state::up);
        break;
    case history_event::cut_off:
        cell.setStoreCutOff(node, true);
        break;
    case history_event::reconnect:
        cell.setStoreCutOff(node, false);
        break;
    }
}

void heal(sync_simulation &cell, std::size_t nodes)
{
    cell.setStore(store_state::up);
    for (std::size_t node = 0; node < nodes; ++node) {
        cell.setPartition(node, 0);
        cell.setStoreCutOff(node, false);
    }
}

// Store calls after an outage of a minute: maximum per tick, and total in the first second.
struct recovery_load
{
    int maxCallsPerTick = 0;
    int callsInFirstSecond = 0;
};

recovery_load loadAfterOutage(std::size_t followers, int jitterPercent, bool linked)
{
    sync_timing timing;
    timing.jitterPercent = jitterPercent;
    sync_simulation cell(followers, timing, linked);
    cell.run(duration(20'000));
    cell.setStore(store_state::refusing);
    cell.run(duration(60'000));
    cell.setStore(store_state::up);
    recovery_load load;
    const int before = cell.calls;
    for (duration passed {}; passed < duration(1000); passed += tick) {
        const int last = cell.calls;
        cell.run(tick);
        load.maxCallsPerTick = std::max(load.maxCallsPerTick, cell.calls - last);
    }
    load.callsInFirstSecond = cell.calls - before;
    return load;
}

} // namespace

TEST_CASE("A configuration propagates through a cell")
{
    const sync_timing timing;
    SUBCASE("of nine nodes")
    {
        sync_simulation cell(9, timing);
        cell.run(duration(10'000));
        REQUIRE(cell.allUpdated());
        SUBCASE("in a few hops after it is accepted")
        {
            duration longest {};
            for (int change = 0; change < 20; ++change) {
                cell.commit();
                longest = std::max(longest, cell.timeUntilAllUpdated(maxPropagationDelay(timing)));
                cell.run(duration(700));
            }
            MESSAGE("longest propagation time to 9 nodes, 20 changes: " << longest.count()
                                                                        << " ms");
            CHECK(longest <= duration(200));
        }
        SUBCASE("and each node receives it from only one peer")
        {
            const int before = cell.updates;
            cell.commit();
            cell.timeUntilAllUpdated(maxPropagationDelay(timing));
            cell.run(duration(1000));
            CHECK(cell.updates - before <= 9);
        }
        SUBCASE("and only the readers watch the store")
        {
            int readers = 0;
            for (std::size_t node = 0; node < 9; ++node)
                readers += cell.node(node).syncPolicy->isReader(cell.now()) ? 1 : 0;
            CHECK(readers == timing.readers);
            const int before = cell.calls;
            cell.run(duration(120'000));
            MESSAGE("store calls of 9 nodes in 120 s without changes: " << cell.calls - before);
            // Per reader, a watch every 3 s and a few reads; per other node, a read every 15 s to
            // 30 s.
            CHECK(cell.calls - before <= 3 * 45 + 6 * 12);
        }
        SUBCASE("also when no reader can reach the store")
        {
            for (std::size_t node = 0; node < 9; ++node) {
                if (cell.node(node).syncPolicy->isReader(cell.now()))
                    cell.setStoreCutOff(node, true);
            }
            cell.commit();
            const duration time = cell.timeUntilAllUpdated(timing.slowPoll * 2);
            MESSAGE("propagation time when no reader reaches the store: " << time.count() << " ms");
            CHECK(time <= maxPropagationDelay(timing));
        }
        SUBCASE("and a restarted node gets it from its peers while the store is down")
        {
            cell.commit();
            cell.timeUntilAllUpdated(maxPropagationDelay(timing));
            cell.setStore(store_state::silent);
            cell.restart(4);
            CHECK(!cell.node(4).syncPolicy->isCurrent());
            cell.run(duration(2000));
            CHECK(cell.node(4).syncPolicy->isCurrent());
            CHECK(cell.node(4).activeRevision == cell.newestRevision);
        }
        SUBCASE(
            "and a node that reaches neither the store nor a peer is isolated after the timeout")
        {
            cell.setPartition(3, 1);
            cell.run(timing.isolation + duration(5000));
            CHECK(!cell.node(3).syncPolicy->isIsolated(cell.now()));
            cell.setStoreCutOff(3, true);
            cell.run(timing.isolation + timing.watch + duration(1000));
            CHECK(cell.node(3).syncPolicy->isIsolated(cell.now()));
            CHECK(!cell.node(2).syncPolicy->isIsolated(cell.now()));
            cell.setPartition(3, 0);
            cell.run(duration(2000));
            CHECK(!cell.node(3).syncPolicy->isIsolated(cell.now()));
        }
        SUBCASE("and a revision rejected as malformed is not requested again")
        {
            configuration_sync_policy syncPolicy("x", timing, 1, start_time);
            CHECK(syncPolicy.onAnnouncement("y", 7, true, start_time) == peer_reply::ask);
            syncPolicy.onUpdate("y", start_time);
            syncPolicy.onRejected(7);
            CHECK(syncPolicy.onAnnouncement("y", 7, true, start_time) == peer_reply::nothing);
            CHECK(syncPolicy.onAnnouncement("y", 8, true, start_time) == peer_reply::ask);
        }
    }
    SUBCASE("after any partitions, store outages and restarts")
    {
        CHECK(rc::check([timing] {
            constexpr std::size_t nodes = 5;
            const auto history = *rc::gen::container<std::vector<history_step>>(arbitraryStep());
            sync_simulation cell(nodes, timing);
            for (const history_step &step : history) {
                applyStep(cell, step);
                cell.run(duration(step.waitMs));
            }
            heal(cell, nodes);
            cell.run(maxPropagationDelay(timing));
            RC_ASSERT(!cell.revisionDecreased);
            RC_ASSERT(!cell.servedStale);
            RC_ASSERT(cell.allUpdated());
        }));
    }
}

TEST_CASE("Jitter does not increase the peak of calls to a store that recovers from an outage")
{
    for (const std::size_t followers : { 9, 100 }) {
        for (const bool linked : { true, false }) {
            const recovery_load unjittered = loadAfterOutage(followers, 0, linked);
            const recovery_load jittered = loadAfterOutage(followers, 50, linked);
            const std::string cell = std::to_string(followers) + (linked ? " linked" : " unlinked");
            MESSAGE(cell << " followers, calls in the first second / in the worst 10 ms: "
                         << unjittered.callsInFirstSecond << "/" << unjittered.maxCallsPerTick
                         << " without jitter, " << jittered.callsInFirstSecond << "/"
                         << jittered.maxCallsPerTick << " with");
            CHECK(jittered.maxCallsPerTick <= unjittered.maxCallsPerTick);
        }
    }
}
