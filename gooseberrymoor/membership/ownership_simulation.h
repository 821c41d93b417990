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

// Who may start in a simulation.
enum class start_rule {
    lease, // as `ownership` decides
    view_only, // whoever is the owner in the newest view that it knows
};

// Instances of `ownership` in virtual time over a fake network and a fake store. Every process
// has a clock of its own, and starts requests at each target whenever it may.
class ownership_simulation
{
public:
    static constexpr duration heartbeat { 100 };
    static constexpr duration lease { 600 };
    static constexpr duration longest_request { 400 };
    static constexpr duration store_poll { 200 };
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

    // What waits for a frozen process refers to the process.
    ~ownership_simulation()
    {
        for (const auto &each : m_processes)
            each->queued.clear();
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

    // Starts a process of node `index`, unless one runs; `moved` gives it another address.
    void start(int index, bool moved = false)
    {
        if (processOf(index))
            return;
        if (moved)
            ++m_moves[index];
        m_processes.push_back(std::make_shared<process>(*this, index, m_moves[index]));
        const auto made = m_processes.back();
        made->decision.configure(targets(), m_zonesOut);
        tickLater(made, between(1, heartbeat.count()));
        pollLater(made, between(0, 20));
        startLater(made);
        checkLater(made);
    }

    void kill(int index)
    {
        if (const auto found = processOf(index))
            found->dead = true;
    }

    void freeze(int index, duration length)
    {
        const auto found = processOf(index);
        if (!found || found->frozen)
            return;
        found->frozen = true;
        at(m_now + length, [this, found] {
            found->frozen = false;
            attemptStarts(*found); // before it hears of anything
            auto queued = std::exchange(found->queued, {});
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
            post(found, [found] { found->decision.beginStop(); });
        }
    }

    void setZoneOut(const std::string &zone, bool out)
    {
        if (out)
            m_zonesOut.insert(zone);
        else
            m_zonesOut.erase(zone);
        for (const auto &each : m_processes)
            post(each, [this, each] { each->decision.configure(targets(), m_zonesOut); });
    }

    static std::string zoneOf(int index) { return "zone" + std::to_string(index % 3); }

    // Messages from one node to another are dropped while they are cut.
    void setCut(int from, int to, bool cut)
    {
        if (cut)
            m_cuts.insert({ from, to });
        else
            m_cuts.erase({ from, to });
    }

    void setStoreUp(bool up) { m_storeUp = up; }

    // The node and the store cannot reach each other while they are cut.
    void setStoreCut(int node, bool cut)
    {
        if (cut)
            m_storeCuts.insert(node);
        else
            m_storeCuts.erase(node);
    }

    void setLossPercent(int percent) { m_lossPercent = percent; }
    void setLostAnswerPercent(int percent) { m_lostAnswerPercent = percent; }
    void setMostDelay(duration most) { m_mostDelay = most; }

    // The process of node `index` that could start at `target` now; -1 if there is none.
    int holderOf(const std::string &target) const
    {
        for (const auto &each : m_processes) {
            if (!each->dead && !each->frozen && maySend(*each, target))
                return each->number;
        }
        return -1;
    }

    int owned() const
    {
        int count = 0;
        for (const std::string &target : targets())
            count += holderOf(target) >= 0 ? 1 : 0;
        return count;
    }

    // Number of the running process of node `index`, -1 if there is none.
    int processNumber(int index) const
    {
        const auto found = processOf(index);
        return found ? found->number : -1;
    }

    const ownership *decisionOf(int index) const
    {
        const auto found = processOf(index);
        return found ? &found->decision : nullptr;
    }

    std::uint64_t messages() const { return m_messages; }

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
        process(ownership_simulation &simulation, int node, int move)
            : owner(simulation), index(node), number(simulation.m_lastProcess++),
              clockOffset(simulation.between(10'000, 900'000)),
              clockPermille(static_cast<int>(simulation.between(-4, 4).count())),
              decision(memberOf(node, move, simulation.m_random()), timing(), simulation.m_random())
        {
            decision.setRequestTracker(*this);
        }

        static member memberOf(int node, int move, std::uint64_t incarnation)
        {
            const auto port = static_cast<std::uint16_t>(7000 + node + 100 * move);
            return { "n" + std::to_string(node), incarnation,         zoneOf(node),
                     { "127.0.0.1", port },      { "127.0.0.1", 80 }, false };
        }

        bool mayHaveRunningRequests(std::string_view target) const override
        {
            const auto found = running.find(std::string(target));
            return found != running.end() && found->second > owner.m_now;
        }

        time_point clock() const
        {
            return time_point(clockOffset + owner.m_now + owner.m_now * clockPermille / 1000);
        }

        ownership_simulation &owner;
        int index;
        int number;
        duration clockOffset;
        int clockPermille;
        ownership decision;
        std::map<std::string, duration> running; // until when, by target
        std::vector<std::function<void()>> queued; // while frozen
        bool frozen = false;
        bool dead = false;
        bool stopping = false;
        bool leaving = false;
    };
    using process_pointer = std::shared_ptr<process>;

    duration between(std::int64_t least, std::int64_t most)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(least, most)(m_random));
    }

    bool happens(int percent) { return between(0, 99).count() < percent; }

    process_pointer processOf(int index) const
    {
        for (const auto &each : m_processes) {
            if (each->index == index && !each->dead)
                return each;
        }
        return nullptr;
    }

    // Runs `run` in the process: at once, when it is no more frozen, or never if it is dead.
    static void post(const process_pointer &to, std::function<void()> run)
    {
        if (to->dead)
            return;
        if (to->frozen)
            to->queued.push_back(std::move(run));
        else
            run();
    }

    void postLater(const process_pointer &to, duration delay, std::function<void()> run)
    {
        at(m_now + delay, [to, run = std::move(run)] { post(to, run); });
    }

    void tickLater(const process_pointer &of, duration delay)
    {
        postLater(of, delay, [this, of] {
            perform(of, of->decision.tick(of->clock()));
            for (const member &each : of->decision.view().members) {
                if (each.name != of->decision.self().name)
                    perform(of, of->decision.heartbeatRequestsTo(each.name, of->clock()));
            }
            tickLater(of, heartbeat);
        });
    }

    void pollLater(const process_pointer &of, duration delay)
    {
        postLater(of, delay, [this, of] {
            readStore(of);
            pollLater(of, store_poll);
        });
    }

    void startLater(const process_pointer &of)
    {
        postLater(of, start_interval, [this, of] {
            attemptStarts(*of);
            startLater(of);
        });
    }

    // What the tasks around the decision do: late releases, and the steps of a graceful stop.
    void checkLater(const process_pointer &of)
    {
        postLater(of, release_retry_interval, [this, of] {
            if (of->decision.hasPendingReleases())
                perform(of, of->decision.retryPendingReleases());
            const member *listed = of->decision.view().find(of->decision.self().name);
            const bool idle = std::ranges::none_of(
                of->running, [this](const auto &each) { return each.second > m_now; });
            if (of->stopping && !of->leaving && listed && listed->leaving && idle) {
                of->leaving = true;
                // The others have time to take its targets over.
                postLater(of, 3 * heartbeat, [of] { of->decision.beginLeave(); });
            }
            if (of->stopping && !of->decision.isInView())
                of->dead = true;
            checkLater(of);
        });
    }

    bool maySend(const process &of, const std::string &target) const
    {
        return m_rule == start_rule::lease ? of.decision.maySend(target, of.clock())
                                           : of.decision.isOwner(target);
    }

    void attemptStarts(process &of)
    {
        if (of.dead)
            return;
        for (const std::string &target : targets()) {
            if (!maySend(of, target))
                continue;
            // The deadline is kept by the owner's clock; a slow one keeps it late.
            const duration length = between(1, longest_request.count());
            duration &until = of.running[target];
            until = std::max(until, m_now + length);
            m_history.add({ target, of.number, m_now, m_now + length });
        }
    }

    void perform(const process_pointer &from, ownership_actions actions)
    {
        for (auto &each : actions.messages)
            send(from, each.to, std::move(each.message));
        if (actions.proposal)
            swap(from, std::move(*actions.proposal));
        if (actions.readView)
            readStore(from);
    }

    static bool isAnswer(membership_message_kind kind)
    {
        return kind == membership_message_kind::lease_reply
            || kind == membership_message_kind::promise_reply
            || kind == membership_message_kind::release_reply
            || kind == membership_message_kind::view_update;
    }

    void send(const process_pointer &from, const std::string &to, membership_message message)
    {
        ++m_messages;
        const int index = std::stoi(to.substr(1));
        const auto receiver = processOf(index);
        if (!receiver || m_cuts.contains({ from->index, index }) || happens(m_lossPercent))
            return;
        // Requests go to the address that the view names, answers back on the same link.
        const member *listed = from->decision.view().find(to);
        const bool sameAddress
            = listed && listed->peerAddress == receiver->decision.self().peerAddress;
        if (!sameAddress && !isAnswer(message.kind))
            return;
        // It may reach a later start of the node than the one it was sent to.
        at(m_now + between(1, m_mostDelay.count()), [this, index, message] {
            const auto present = processOf(index);
            if (!present)
                return;
            post(present, [this, present, message] {
                perform(present, present->decision.onMessage(message, present->clock()));
            });
        });
    }

    void readStore(const process_pointer &from)
    {
        const time_point sentAt = from->clock();
        at(m_now + between(1, m_mostDelay.count()), [this, from, sentAt] {
            if (!m_storeUp || m_storeCuts.contains(from->index))
                return;
            const cell_view seen = m_stored;
            postLater(from, between(1, m_mostDelay.count()), [this, from, sentAt, seen] {
                if (seen.epoch > 0)
                    perform(from, from->decision.onView(seen, from->clock()));
                perform(from, from->decision.onStoreRead(seen.epoch, sentAt, from->clock()));
            });
        });
    }

    // A swap may take effect after its sender gave up waiting for the answer.
    void swap(const process_pointer &from, cell_view wanted)
    {
        const auto ended = std::make_shared<bool>(false);
        const auto end = [this, from, wanted, ended](std::int64_t epoch) {
            if (std::exchange(*ended, true))
                return;
            perform(from, from->decision.onProposalCompleted(wanted, epoch, from->clock()));
        };
        postLater(from, store_timeout, [end] { end(0); });
        const duration delay = between(1, happens(5) ? 1000 : m_mostDelay.count());
        at(m_now + delay, [this, from, wanted, end] {
            if (!m_storeUp || m_storeCuts.contains(from->index))
                return;
            const bool succeeds = wanted.epoch == m_stored.epoch;
            if (succeeds) {
                m_stored = wanted;
                m_stored.epoch = ++m_revision;
            }
            const std::int64_t epoch = succeeds ? m_stored.epoch : 0;
            if (!happens(m_lostAnswerPercent))
                postLater(from, between(1, m_mostDelay.count()), [end, epoch] { end(epoch); });
        });
    }

    start_rule m_rule;
    std::mt19937_64 m_random;
    duration m_now {};
    std::priority_queue<event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::vector<process_pointer> m_processes;
    std::map<int, int> m_moves; // how often a node was given another address
    std::set<std::pair<int, int>> m_cuts;
    std::set<int> m_storeCuts;
    std::set<std::string> m_zonesOut;
    cell_view m_stored;
    std::int64_t m_revision = 1;
    run_history m_history;
    duration m_mostDelay { 5 };
    std::uint64_t m_messages = 0;
    int m_lastProcess = 0;
    int m_lossPercent = 0;
    int m_lostAnswerPercent = 0;
    bool m_storeUp = true;
};

} // namespace gooseberrymoor
