#pragma once

#include "gooseberrymoor/membership/ownership.h"
#include "gooseberrymoor/membership/request_tracker.h"
#include "gooseberrymoor/membership/run_history.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Decides when a simulated process may start requests at a target.
enum class start_rule {
    lease, // when `ownership::maySend` allows it
    view_only, // when it is the owner in its newest view
};

// Simulates the `ownership` of several nodes in virtual time, over a fake network and a fake store.
// Each process has its own clock with an offset and drift, and starts requests at each target
// whenever it may.
class ownership_simulation
{
public:
    static constexpr duration heartbeat { 100 };
    static constexpr duration lease { 600 };
    static constexpr duration longest_request { 400 };
    static constexpr duration store_poll_interval { 200 };
    static constexpr duration store_timeout { 300 };
    static constexpr duration start_interval { 23 };
    static constexpr duration release_retry_interval { 10 };
    static constexpr int target_count = 6;

    ownership_simulation(int nodes, std::uint64_t seed, start_rule rule = start_rule::lease)
        : m_rule(rule), m_random(seed)
    {
        for (int i = 0; i < nodes; ++i)
            start(i);
    }

    // Breaks the reference cycle between a paused process and the functions queued for it.
    ~ownership_simulation()
    {
        for (const auto &each : m_processes)
            each->queuedWhilePaused.clear();
    }
    ownership_simulation(const ownership_simulation &) = delete;
    ownership_simulation &operator=(const ownership_simulation &) = delete;

    static ownership_timing timing() { return { heartbeat, lease, longest_request }; }
    static std::string targetName(int index) { return "standings/g" + std::to_string(index); }

    duration now() const { return m_now; }
    const run_history &history() const { return m_history; }

    void runFor(duration length)
    {
        const duration end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }

    void at(duration when, std::function<void()> run)
    {
        m_events.push({ when, ++m_lastEvent, std::move(run) });
    }

    // Starts a process of node `index` unless one is running, at a new address if
    // `withNewAddress`.
    void start(int index, bool withNewAddress = false)
    {
        if (processOf(index))
            return;
        if (withNewAddress)
            ++m_addressChanges[index];
        m_processes.push_back(std::make_shared<process>(*this, index, m_addressChanges[index]));
        const auto started = m_processes.back();
        started->state.configure(targets(), m_zonesOut);
        scheduleTick(started, randomDuration(1, heartbeat.count()));
        scheduleStorePoll(started, randomDuration(0, 20));
        scheduleRequestStarts(started);
        scheduleReleaseCheck(started);
    }

    void kill(int index)
    {
        if (const auto found = processOf(index))
            found->dead = true;
    }

    void pause(int index, duration length)
    {
        const auto found = processOf(index);
        if (!found || found->paused)
            return;
        found->paused = true;
        at(m_now + length, [this, found] {
            found->paused = false;
            startAllowedRequests(*found); // before it receives any message
            auto queued = std::exchange(found->queuedWhilePaused, {});
            for (auto &run : queued) {
                if (!found->dead)
                    run();
            }
        });
    }

    void stopGracefully(int index)
    {
        if (const auto found = processOf(index); found && !found->stopping) {
            found->stopping = true;
            post(found, [found] { found->state.beginStop(); });
        }
    }

    void setZoneOut(const std::string &zone, bool out)
    {
        if (out)
            m_zonesOut.insert(zone);
        else
            m_zonesOut.erase(zone);
        for (const auto &each : m_processes)
            post(each, [this, each] { each->state.configure(targets(), m_zonesOut); });
    }

    static std::string zoneOf(int index) { return "zone" + std::to_string(index % 3); }

    // While a direction is blocked, messages from node `from` to node `to` are dropped.
    void setBlocked(int from, int to, bool blocked)
    {
        if (blocked)
            m_blockedDirections.insert({ from, to });
        else
            m_blockedDirections.erase({ from, to });
    }

    void setStoreUp(bool up) { m_storeUp = up; }

    // While the store is blocked for a node, the node and the store cannot reach each other.
    void setStoreBlocked(int node, bool blocked)
    {
        if (blocked)
            m_nodesWithoutStore.insert(node);
        else
            m_nodesWithoutStore.erase(node);
    }

    void setLossPercent(int percent) { m_lossPercent = percent; }
    void setLostStoreReplyPercent(int percent) { m_lostStoreReplyPercent = percent; }
    void setMaxDelay(duration max) { m_maxDelay = max; }

    // Returns the number of the process that may start requests at `target` now; -1 if there is
    // none.
    int holderOf(const std::string &target) const
    {
        for (const auto &each : m_processes) {
            if (!each->dead && !each->paused && mayStart(*each, target))
                return each->processNumber;
        }
        return -1;
    }

    // Returns the number of targets at which some process may start requests now.
    int ownedTargetCount() const
    {
        int count = 0;
        for (const std::string &target : targets())
            count += holderOf(target) >= 0 ? 1 : 0;
        return count;
    }

    // Returns the number of the running process of node `index`; -1 if there is none.
    int processNumber(int index) const
    {
        const auto found = processOf(index);
        return found ? found->processNumber : -1;
    }

    const ownership *ownershipOf(int index) const
    {
        const auto found = processOf(index);
        return found ? &found->state : nullptr;
    }

    std::uint64_t messageCount() const { return m_messageCount; }

    static std::set<std::string> targets()
    {
        std::set<std::string> all;
        for (int i = 0; i < target_count; ++i)
            all.insert(targetName(i));
        return all;
    }

private:
    struct event
    {
        duration at {};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    struct process : request_tracker
    {
        process(ownership_simulation &simulation, int nodeIndex, int addressChanges)
            : simulation(simulation), nodeIndex(nodeIndex),
              processNumber(simulation.m_nextProcess++),
              clockOffset(simulation.randomDuration(10'000, 900'000)),
              clockDriftPermille(static_cast<int>(simulation.randomDuration(-4, 4).count())),
              state(memberOf(nodeIndex, addressChanges, simulation.m_random()), timing(),
                    simulation.m_random())
        {
            state.setRequestTracker(*this);
        }

        static member memberOf(int nodeIndex, int addressChanges, std::uint64_t incarnation)
        {
            const auto port = static_cast<std::uint16_t>(7000 + nodeIndex + 100 * addressChanges);
            return { "n" + std::to_string(nodeIndex), incarnation,         zoneOf(nodeIndex),
                     { "127.0.0.1", port },           { "127.0.0.1", 80 }, false };
        }

        bool mayHaveRunningRequests(std::string_view target) const override
        {
            const auto found = runningUntil.find(std::string(target));
            return found != runningUntil.end() && found->second > simulation.m_now;
        }

        time_point clock() const
        {
            return time_point(clockOffset + simulation.m_now
                              + simulation.m_now * clockDriftPermille / 1000);
        }

        ownership_simulation &simulation;
        int nodeIndex;
        int processNumber;
        duration clockOffset;
        int clockDriftPermille;
        ownership state;
        std::map<std::string, duration> runningUntil; // by target
        std::vector<std::function<void()>> queuedWhilePaused;
        bool paused = false;
        bool dead = false;
        bool stopping = false;
        bool leaving = false;
    };
    using process_pointer = std::shared_ptr<process>;

    duration randomDuration(std::int64_t min, std::int64_t max)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(min, max)(m_random));
    }

    bool randomChance(int percent) { return randomDuration(0, 99).count() < percent; }

    process_pointer processOf(int index) const
    {
        for (const auto &each : m_processes) {
            if (each->nodeIndex == index && !each->dead)
                return each;
        }
        return nullptr;
    }

    // Runs `run` in the process: now, once it is resumed if it is paused, or never if it is dead.
    static void post(const process_pointer &to, std::function<void()> run)
    {
        if (to->dead)
            return;
        if (to->paused)
            to->queuedWhilePaused.push_back(std::move(run));
        else
            run();
    }

    void postLater(const process_pointer &to, duration delay, std::function<void()> run)
    {
        at(m_now + delay, [to, run = std::move(run)] { post(to, run); });
    }

    void scheduleTick(const process_pointer &of, duration delay)
    {
        postLater(of, delay, [this, of] {
            perform(of, of->state.tick(of->clock()));
            for (const member &each : of->state.view().members) {
                if (each.name != of->state.self().name)
                    perform(of, of->state.heartbeatRequestsTo(each.name, of->clock()));
            }
            scheduleTick(of, heartbeat);
        });
    }

    void scheduleStorePoll(const process_pointer &of, duration delay)
    {
        postLater(of, delay, [this, of] {
            readStore(of);
            scheduleStorePoll(of, store_poll_interval);
        });
    }

    void scheduleRequestStarts(const process_pointer &of)
    {
        postLater(of, start_interval, [this, of] {
            startAllowedRequests(*of);
            scheduleRequestStarts(of);
        });
    }

    // Does what the tasks of `membership_manager` and the shutdown sequence do: retries pending
    // releases and performs the steps of a graceful stop.
    void scheduleReleaseCheck(const process_pointer &of)
    {
        postLater(of, release_retry_interval, [this, of] {
            if (of->state.hasPendingReleases())
                perform(of, of->state.retryPendingReleases());
            const member *listed = of->state.view().find(of->state.self().name);
            const bool idle = std::ranges::none_of(
                of->runningUntil, [this](const auto &each) { return each.second > m_now; });
            if (of->stopping && !of->leaving && listed && listed->leaving && idle) {
                of->leaving = true;
                // Gives the others time to take over its targets.
                postLater(of, 3 * heartbeat, [of] { of->state.beginLeave(); });
            }
            if (of->stopping && !of->state.isInView())
                of->dead = true;
            scheduleReleaseCheck(of);
        });
    }

    bool mayStart(const process &of, const std::string &target) const
    {
        return m_rule == start_rule::lease ? of.state.maySend(target, of.clock())
                                           : of.state.isOwner(target);
    }

    // Starts a request at each target at which `of` may start one.
    void startAllowedRequests(process &of)
    {
        if (of.dead)
            return;
        for (const std::string &target : targets()) {
            if (!mayStart(of, target))
                continue;
            // The deadline is kept by the owner's clock; a slow one keeps it late.
            const duration length = randomDuration(1, longest_request.count());
            duration &until = of.runningUntil[target];
            until = std::max(until, m_now + length);
            m_history.add({ target, of.processNumber, m_now, m_now + length });
        }
    }

    void perform(const process_pointer &from, ownership_actions actions)
    {
        for (auto &each : actions.messages)
            send(from, each.to, std::move(each.message));
        if (actions.proposal)
            compareAndSwap(from, std::move(*actions.proposal));
        if (actions.readView)
            readStore(from);
    }

    static bool isReply(membership_message_kind kind)
    {
        return kind == membership_message_kind::lease_reply
            || kind == membership_message_kind::promise_reply
            || kind == membership_message_kind::release_reply
            || kind == membership_message_kind::view_update;
    }

    void send(const process_pointer &from, const std::string &to, membership_message message)
    {
        ++m_messageCount;
        const int index = std::stoi(to.substr(1));
        const auto receiver = processOf(index);
        if (!receiver || m_blockedDirections.contains({ from->nodeIndex, index })
            || randomChance(m_lossPercent))
            return;
        // Requests are sent to the address in the view, replies on the link of the request.
        const member *listed = from->state.view().find(to);
        const bool sameAddress
            = listed && listed->peerAddress == receiver->state.self().peerAddress;
        if (!sameAddress && !isReply(message.kind))
            return;
        // A later process of the node than the one it was sent to may receive the message.
        at(m_now + randomDuration(1, m_maxDelay.count()), [this, index, message] {
            const auto current = processOf(index);
            if (!current)
                return;
            post(current, [this, current, message] {
                perform(current, current->state.onMessage(message, current->clock()));
            });
        });
    }

    void readStore(const process_pointer &from)
    {
        const time_point sentAt = from->clock();
        at(m_now + randomDuration(1, m_maxDelay.count()), [this, from, sentAt] {
            if (!m_storeUp || m_nodesWithoutStore.contains(from->nodeIndex))
                return;
            const cell_view read = m_stored;
            postLater(from, randomDuration(1, m_maxDelay.count()), [this, from, sentAt, read] {
                if (read.epoch > 0)
                    perform(from, from->state.onView(read, from->clock()));
                perform(from, from->state.onStoreRead(read.epoch, sentAt, from->clock()));
            });
        });
    }

    // The swap may take effect after its sender has stopped waiting for the reply.
    void compareAndSwap(const process_pointer &from, cell_view wanted)
    {
        const auto ended = std::make_shared<bool>(false);
        const auto end = [this, from, wanted, ended](std::int64_t epoch) {
            if (std::exchange(*ended, true))
                return;
            perform(from, from->state.onProposalCompleted(wanted, epoch, from->clock()));
        };
        postLater(from, store_timeout, [end] { end(0); });
        const duration delay = randomDuration(1, randomChance(5) ? 1000 : m_maxDelay.count());
        at(m_now + delay, [this, from, wanted, end] {
            if (!m_storeUp || m_nodesWithoutStore.contains(from->nodeIndex))
                return;
            const bool succeeds = wanted.epoch == m_stored.epoch;
            if (succeeds) {
                m_stored = wanted;
                m_stored.epoch = ++m_revision;
            }
            const std::int64_t epoch = succeeds ? m_stored.epoch : 0;
            if (!randomChance(m_lostStoreReplyPercent))
                postLater(from, randomDuration(1, m_maxDelay.count()),
                          [end, epoch] { end(epoch); });
        });
    }

    start_rule m_rule;
    std::mt19937_64 m_random;
    duration m_now {};
    std::priority_queue<event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::vector<process_pointer> m_processes;
    std::map<int, int> m_addressChanges; // number of address changes by node
    std::set<std::pair<int, int>> m_blockedDirections; // from, to
    std::set<int> m_nodesWithoutStore;
    std::set<std::string> m_zonesOut;
    cell_view m_stored;
    std::int64_t m_revision = 1;
    run_history m_history;
    duration m_maxDelay { 5 };
    std::uint64_t m_messageCount = 0;
    int m_nextProcess = 0;
    int m_lossPercent = 0;
    int m_lostStoreReplyPercent = 0;
    bool m_storeUp = true;
};

} // namespace gooseberrymoor
