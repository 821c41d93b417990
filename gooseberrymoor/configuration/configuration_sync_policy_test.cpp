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
constexpr duration one_hop { 10 };
constexpr duration one_call { 10 };
const time_point beginning(duration(1'000'000));

// How the simulated store is out of service.
enum class store_state {
    up,
    refusing, // calls fail at once
    silent, // calls time out
};

enum class message_type {
    announcement,
    question,
    update,
};

struct simulated_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    message_type type = message_type::announcement;
    std::int64_t revision = 0;
    time_point at;
    bool reachesStore = true;
};

struct simulated_call
{
    store_action duty = store_action::wait;
    time_point began;
    time_point ends;
};

struct simulated_node
{
    std::unique_ptr<configuration_sync_policy> spread;
    std::int64_t inForce = 0;
    std::int64_t seen = 0;
    std::int64_t newestAtStart = 0;
    std::optional<simulated_call> call;
    time_point nextAnnouncement;
    bool storeCutOff = false;
    bool readSinceStart = false;
};

// Nodes, links and a store in virtual time; only the decisions are the product's.
class spread_simulation
{
public:
    spread_simulation(std::size_t nodes, sync_timing timing, bool linked = true)
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
        node.spread = std::make_unique<configuration_sync_policy>(
            nameOfNode(index), m_timing, static_cast<std::uint32_t>(m_starts), m_now);
        node.nextAnnouncement = m_now;
        node.newestAtStart = newest;
    }

    void accept() { ++newest; }
    void setStore(store_state state) { m_store = state; }
    void cutFromStore(std::size_t node, bool cut) { m_nodes[node].storeCutOff = cut; }

    // Nodes of different parts are not linked.
    void setPart(std::size_t node, int part) { m_parts[node] = part; }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += tick)
            step();
    }

    bool allHaveNewest() const
    {
        return std::ranges::all_of(
            m_nodes, [&](const simulated_node &node) { return node.inForce == newest; });
    }

    // Time until all nodes have the newest revision, at most `longest`.
    duration timeToAll(duration longest)
    {
        const time_point began = m_now;
        while (!allHaveNewest() && m_now - began < longest)
            run(tick);
        return m_now - began;
    }

    const simulated_node &node(std::size_t index) const { return m_nodes[index]; }
    time_point now() const { return m_now; }

    std::int64_t newest = 1;
    int calls = 0;
    int updates = 0;
    bool wentDown = false; // a revision in force went down at some node
    bool servedOld = false; // a node said it was current with an older revision than it had to have

private:
    static std::string nameOfNode(std::size_t index) { return "n" + std::to_string(index); }

    bool reaches(const simulated_node &node) const
    {
        return m_store == store_state::up && !node.storeCutOff;
    }
    bool areLinked(std::size_t a, std::size_t b) { return m_linked && m_parts[a] == m_parts[b]; }

    void step()
    {
        deliver();
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
        if (node.spread->isCurrent() && node.readSinceStart && node.inForce < node.newestAtStart)
            servedOld = true;
        if (node.spread->isCurrent() && node.inForce == 0)
            servedOld = true;
    }

    void stepCall(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        if (node.call)
            finishCall(index);
        if (node.call)
            return;
        const planned_store_action plan = node.spread->nextStoreAction(m_now);
        if (plan.duty == store_action::wait)
            return;
        ++calls;
        const bool isRead = plan.duty == store_action::read;
        node.call = simulated_call { plan.duty, m_now, isRead ? m_now + one_call : plan.until };
    }

    void finishCall(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        const simulated_call call = *node.call;
        if (!reaches(node)) {
            const bool silent = m_store == store_state::silent || node.storeCutOff;
            if (!silent || m_now - call.began >= m_timing.call) {
                node.call.reset();
                node.spread->onStoreFailure(m_now);
            }
            return;
        }
        const bool changed = call.duty == store_action::watch && node.seen < newest;
        if (m_now < call.ends && !changed)
            return;
        node.call.reset();
        if (call.duty == store_action::watch) {
            node.spread->onWatch(changed, call.began, m_now);
            return;
        }
        node.seen = newest;
        node.readSinceStart = true;
        node.spread->onRead(m_now);
        take(index, newest);
    }

    void take(std::size_t index, std::int64_t revision)
    {
        simulated_node &node = m_nodes[index];
        if (revision <= node.inForce)
            return;
        node.inForce = revision;
        node.spread->onActivated(revision);
        announce(index);
    }

    void announce(std::size_t from)
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from)
                send({ from, to, message_type::announcement, m_nodes[from].inForce, {}, true });
        }
    }

    void send(simulated_message message)
    {
        if (!areLinked(message.from, message.to))
            return;
        message.at = m_now + one_hop;
        message.reachesStore = m_nodes[message.from].spread->reachesStore();
        m_messages.push_back(message);
    }

    void deliver()
    {
        std::vector<simulated_message> due;
        std::erase_if(m_messages, [&](const simulated_message &each) {
            if (each.at <= m_now)
                due.push_back(each);
            return each.at <= m_now;
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
        const std::int64_t before = node.inForce;
        switch (message.type) {
        case message_type::announcement:
            reply(message,
                  node.spread->onAnnouncement(peer, message.revision, message.reachesStore, m_now));
            break;
        case message_type::question:
            reply(message, node.spread->onUpdateRequest(peer, message.revision, m_now));
            break;
        case message_type::update:
            ++updates;
            node.spread->onUpdate(peer, m_now);
            take(message.to, message.revision);
            break;
        }
        wentDown = wentDown || node.inForce < before;
    }

    void reply(const simulated_message &to, peer_reply step)
    {
        const std::int64_t revision = m_nodes[to.to].inForce;
        if (step == peer_reply::announce)
            send({ to.to, to.from, message_type::announcement, revision, {}, true });
        if (step == peer_reply::ask)
            send({ to.to, to.from, message_type::question, revision, {}, true });
        if (step == peer_reply::answer)
            send({ to.to, to.from, message_type::update, revision, {}, true });
    }

    sync_timing m_timing;
    std::vector<simulated_node> m_nodes;
    std::map<std::size_t, int> m_parts;
    std::vector<simulated_message> m_messages;
    store_state m_store = store_state::up;
    time_point m_now = beginning;
    int m_starts = 0;
    bool m_linked;
};

// One event of a generated history.
enum class history_event {
    accept,
    restart,
    part,
    unpart,
    store_refuses,
    store_silent,
    store_up,
    cut_off,
    reconnect,
};

struct history_step
{
    history_event event = history_event::accept;
    int node = 0;
    int waitMs = 0;
};

rc::Gen<history_step> anyStep()
{
    return rc::gen::build<history_step>(
        rc::gen::set(&history_step::event,
                     rc::gen::element(history_event::accept, history_event::accept,
                                      history_event::restart, history_event::part,
                                      history_event::unpart, history_event::store_refuses,
                                      history_event::store_silent, history_event::store_up,
                                      history_event::cut_off, history_event::reconnect)),
        rc::gen::set(&history_step::node, rc::gen::inRange(0, 5)),
        rc::gen::set(&history_step::waitMs, rc::gen::inRange(0, 6000)));
}

void play(spread_simulation &cell, const history_step &step)
{
    const auto node = static_cast<std::size_t>(step.node);
    switch (step.event) {
    case history_event::accept:
        cell.accept();
        break;
    case history_event::restart:
        cell.restart(node);
        break;
    case history_event::part:
        cell.setPart(node, 1);
        break;
    case history_event::unpart:
        cell.setPart(node, 0);
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
        cell.cutFromStore(node, true);
        break;
    case history_event::reconnect:
        cell.cutFromStore(node, false);
        break;
    }
}

void heal(spread_simulation &cell, std::size_t nodes)
{
    cell.setStore(store_state::up);
    for (std::size_t node = 0; node < nodes; ++node) {
        cell.setPart(node, 0);
        cell.cutFromStore(node, false);
    }
}

// Most calls in one tick, and calls in the first second, after an outage of a minute ends.
struct return_load
{
    int inOneTick = 0;
    int inFirstSecond = 0;
};

return_load loadAtReturn(std::size_t followers, int jitterPercent, bool linked)
{
    sync_timing timing;
    timing.jitterPercent = jitterPercent;
    spread_simulation cell(followers, timing, linked);
    cell.run(duration(20'000));
    cell.setStore(store_state::refusing);
    cell.run(duration(60'000));
    cell.setStore(store_state::up);
    return_load load;
    const int before = cell.calls;
    for (duration passed {}; passed < duration(1000); passed += tick) {
        const int last = cell.calls;
        cell.run(tick);
        load.inOneTick = std::max(load.inOneTick, cell.calls - last);
    }
    load.inFirstSecond = cell.calls - before;
    return load;
}

} // namespace

TEST_CASE("A configuration spreads through a cell")
{
    const sync_timing timing;
    SUBCASE("of nine nodes")
    {
        spread_simulation cell(9, timing);
        cell.run(duration(10'000));
        REQUIRE(cell.allHaveNewest());
        SUBCASE("in a few hops after it is accepted")
        {
            duration longest {};
            for (int change = 0; change < 20; ++change) {
                cell.accept();
                longest = std::max(longest, cell.timeToAll(maxPropagationDelay(timing)));
                cell.run(duration(700));
            }
            MESSAGE("longest time to all of 9 nodes, 20 changes: " << longest.count() << " ms");
            CHECK(longest <= duration(200));
        }
        SUBCASE("and each takes it from one peer")
        {
            const int before = cell.updates;
            cell.accept();
            cell.timeToAll(maxPropagationDelay(timing));
            cell.run(duration(1000));
            CHECK(cell.updates - before <= 9);
        }
        SUBCASE("and only the readers watch the store")
        {
            int readers = 0;
            for (std::size_t node = 0; node < 9; ++node)
                readers += cell.node(node).spread->isReader(cell.now()) ? 1 : 0;
            CHECK(readers == timing.readers);
            const int before = cell.calls;
            cell.run(duration(120'000));
            MESSAGE("store calls of 9 nodes in 120 s without changes: " << cell.calls - before);
            CHECK(cell.calls - before <= 3 * 45 + 6 * 12);
        }
        SUBCASE("also when all readers are cut off from the store")
        {
            for (std::size_t node = 0; node < 9; ++node) {
                if (cell.node(node).spread->isReader(cell.now()))
                    cell.cutFromStore(node, true);
            }
            cell.accept();
            const duration time = cell.timeToAll(timing.slowPoll * 2);
            MESSAGE("time to all when all readers are cut off: " << time.count() << " ms");
            CHECK(time <= maxPropagationDelay(timing));
        }
        SUBCASE("and a restarted node takes it from its peers while the store is down")
        {
            cell.accept();
            cell.timeToAll(maxPropagationDelay(timing));
            cell.setStore(store_state::silent);
            cell.restart(4);
            CHECK(!cell.node(4).spread->isCurrent());
            cell.run(duration(2000));
            CHECK(cell.node(4).spread->isCurrent());
            CHECK(cell.node(4).inForce == cell.newest);
        }
        SUBCASE("and a node that hears neither store nor peers is isolated after the stated time")
        {
            cell.setPart(3, 1);
            cell.run(timing.isolation + duration(5000));
            CHECK(!cell.node(3).spread->isIsolated(cell.now()));
            cell.cutFromStore(3, true);
            cell.run(timing.isolation + timing.watch + duration(1000));
            CHECK(cell.node(3).spread->isIsolated(cell.now()));
            CHECK(!cell.node(2).spread->isIsolated(cell.now()));
            cell.setPart(3, 0);
            cell.run(duration(2000));
            CHECK(!cell.node(3).spread->isIsolated(cell.now()));
        }
        SUBCASE("and a revision that is malformed here is not asked for again and again")
        {
            configuration_sync_policy spread("x", timing, 1, beginning);
            CHECK(spread.onAnnouncement("y", 7, true, beginning) == peer_reply::ask);
            spread.onUpdate("y", beginning);
            spread.onRejected(7);
            CHECK(spread.onAnnouncement("y", 7, true, beginning) == peer_reply::nothing);
            CHECK(spread.onAnnouncement("y", 8, true, beginning) == peer_reply::ask);
        }
    }
    SUBCASE("whatever is parted, out of service or restarted")
    {
        CHECK(rc::check([timing] {
            constexpr std::size_t nodes = 5;
            const auto history = *rc::gen::container<std::vector<history_step>>(anyStep());
            spread_simulation cell(nodes, timing);
            for (const history_step &step : history) {
                play(cell, step);
                cell.run(duration(step.waitMs));
            }
            heal(cell, nodes);
            cell.run(maxPropagationDelay(timing));
            RC_ASSERT(!cell.wentDown);
            RC_ASSERT(!cell.servedOld);
            RC_ASSERT(cell.allHaveNewest());
        }));
    }
}

TEST_CASE("A store that comes back after an outage is not stampeded")
{
    for (const std::size_t followers : { 9, 100 }) {
        for (const bool linked : { true, false }) {
            const return_load plain = loadAtReturn(followers, 0, linked);
            const return_load jittered = loadAtReturn(followers, 50, linked);
            const std::string cell = std::to_string(followers) + (linked ? " linked" : " unlinked");
            MESSAGE(cell << " followers, calls in the first second / in the worst 10 ms: "
                         << plain.inFirstSecond << "/" << plain.inOneTick << " without jitter, "
                         << jittered.inFirstSecond << "/" << jittered.inOneTick << " with");
            CHECK(jittered.inOneTick <= plain.inOneTick);
        }
    }
}
