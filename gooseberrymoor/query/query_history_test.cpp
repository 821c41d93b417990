#include "gooseberrymoor/query/query_run.h"

#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/query/extra_request_budget.h"
#include "gooseberrymoor/query/fixed_hedge_policy.h"
#include "gooseberrymoor/query/least_outstanding_selector.h"
#include "gooseberrymoor/query/snapshot_selector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace gooseberrymoor;

namespace {

const time_point begin { duration(1000) };
constexpr int most_saved = 40;
constexpr int ample_time_ms = 100;

// What is generated: a service, a request, and how targets behave.
struct scenario
{
    int groups = 1;
    int targets = 1; // of each group
    int shards = 1;
    int snapshots = 1;
    bool idempotent = true;
    bool named = false; // the request names its shards, some of them twice
    int timeoutMs = 100;
    int budgetPercent = 50;
    int saved = 0; // requests that the budget has at the start
    int hedgeMs = 20;
    int failingPercent = 30;
    int slowPercent = 20;
    bool namesUnknown = false; // the request also names a shard that is in no snapshot
    bool newestMissing = false; // no target has the newest snapshot yet
    std::uint64_t seed = 0;
};

scenario anyScenario()
{
    scenario made;
    made.groups = *rc::gen::inRange(1, 4);
    made.targets = *rc::gen::inRange(1, 5);
    made.shards = *rc::gen::inRange(1, 9);
    made.snapshots = *rc::gen::inRange(1, 4);
    made.idempotent = *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } });
    made.named = !made.idempotent || *rc::gen::arbitrary<bool>();
    made.timeoutMs = *rc::gen::inRange(1, 300);
    made.budgetPercent = *rc::gen::element(0, 5, 50, 100);
    made.saved = made.budgetPercent == 0 ? 0 : *rc::gen::inRange(0, most_saved + 1);
    made.hedgeMs = *rc::gen::inRange(1, 60);
    made.failingPercent = *rc::gen::element(0, 10, 50, 90, 100);
    made.slowPercent = *rc::gen::element(0, 10, 50, 100);
    made.namesUnknown = made.idempotent && made.named && *rc::gen::inRange(0, 4) == 0;
    made.newestMissing = *rc::gen::inRange(0, 4) == 0;
    made.seed = *rc::gen::arbitrary<std::uint64_t>();
    return made;
}

std::string shardName(int index)
{
    return "s" + std::to_string(index);
}

std::shared_ptr<const configuration> configurationFor(const scenario &from)
{
    auto result = std::make_shared<configuration>();
    service_config service;
    service.name = "standings";
    for (int g = 0; g < from.groups; ++g) {
        group_config group { "g" + std::to_string(g), {} };
        for (int t = 0; t < from.targets; ++t) {
            const std::string name = group.name + "-" + std::to_string(t);
            group.targets.push_back({ name, { "127.0.0.1", 9001 }, "kl-a", "v1", false });
        }
        service.groups.push_back(group);
    }
    for (int s = 0; s < from.snapshots; ++s) {
        snapshot_config snapshot { "snap" + std::to_string(s), {} };
        // Each snapshot has a map of its own, and newer ones have one shard more.
        for (int i = 0; i < from.shards + s; ++i)
            snapshot.groupOfShard[shardName(i)] = "g" + std::to_string((i + s) % from.groups);
        service.snapshots.push_back(snapshot);
    }
    service.versions = { { "v1", 1000, false } };
    result->services["standings"] = service;
    return result;
}

query_request requestFor(const scenario &from)
{
    query_request request {
        "standings", {}, "q", from.idempotent, begin + duration(from.timeoutMs)
    };
    if (!from.idempotent)
        request.shards = { shardName(0) };
    else if (from.named) {
        for (int i = 0; i < from.shards; i += 2) {
            request.shards.push_back(shardName(i));
            request.shards.push_back(shardName(i));
        }
        if (from.namesUnknown)
            request.shards.push_back("nowhere");
    }
    return request;
}

struct sent_request
{
    outgoing_leaf_request outgoing;
    time_point at;
    bool cancelled = false;
    bool ended = false; // its answer was delivered before it was cancelled
    leaf_response answer;
    time_point answeredAt = time_point::max();
};

// All that happened, as seen from outside of the run.
struct history
{
    std::vector<sent_request> sends; // attempt n at n - 1
    std::vector<std::string> faults;
    query_answer answer;
    time_point finishedAt;
    bool finished = false;

    void expect(bool holds, const std::string &what)
    {
        if (!holds)
            faults.push_back(what);
    }
};

leaf_response failure(error_kind kind, verdict outcome)
{
    return { 0, kind, outcome, "", "", 0 };
}

// Targets and the way to them, drawn from a seed.
class world
{
public:
    explicit world(const scenario &from) : m_scenario(from), m_random(from.seed) { }

    leaf_response answerTo(const outgoing_leaf_request &outgoing)
    {
        const leaf_request &request = outgoing.request;
        const std::string newest = "snap" + std::to_string(m_scenario.snapshots - 1);
        if (m_scenario.newestMissing && request.snapshot == newest)
            return failure(error_kind::snapshot_unavailable, verdict::not_run);
        if (draw(100) >= m_scenario.failingPercent) {
            return { 0,
                     error_kind::none,
                     verdict::completed,
                     request.snapshot,
                     request.shard + "@" + request.snapshot + "#"
                         + std::to_string(outgoing.attempt),
                     0 };
        }
        switch (draw(11)) {
        case 0:
            return failure(error_kind::overloaded, verdict::not_run);
        case 1:
            return failure(error_kind::not_owner, verdict::not_run);
        case 2:
            return failure(error_kind::no_owner, verdict::not_run);
        case 3:
            return failure(error_kind::draining, verdict::not_run);
        case 4:
            return failure(error_kind::link_lost, verdict::not_run);
        case 5:
            return failure(error_kind::link_lost, verdict::may_have_run);
        case 6:
            return failure(error_kind::target_lost, verdict::may_have_run);
        case 7:
            return failure(error_kind::target_failed, verdict::may_have_run);
        case 8:
            return failure(error_kind::malformed_answer, verdict::may_have_run);
        case 9: // answered, but from another snapshot
            return { 0, error_kind::none, verdict::completed, "other", "wrong", 0 };
        default:
            return failure(error_kind::snapshot_unavailable, verdict::not_run);
        }
    }

    time_point answerTime(time_point now)
    {
        if (draw(100) >= m_scenario.slowPercent)
            return now + duration(draw(10));
        return draw(3) == 0 ? time_point::max() : now + duration(10 + draw(400));
    }

private:
    int draw(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

    scenario m_scenario;
    std::mt19937_64 m_random;
};

// Drives one run in virtual time and notes what it does.
class bench
{
public:
    explicit bench(const scenario &from) : m_scenario(from), m_world(from) { }

    history play()
    {
        least_outstanding_selector selector(m_scenario.seed);
        fixed_hedge_policy hedging { duration(m_scenario.hedgeMs) };
        extra_request_budget budget(m_scenario.budgetPercent);
        while (budget.available() > m_scenario.saved)
            budget.tryTakeRetry();
        snapshot_selector snapshots;
        std::mt19937_64 random(m_scenario.seed);
        const query_request request = requestFor(m_scenario);
        cell_view view;
        view.put({ "n1", 1, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
        const auto routes = std::make_shared<routing_table>(configurationFor(m_scenario), view);
        query_run run(request, routes, { selector, hedging, budget, snapshots, random });
        time_point now = begin;
        perform(run.start(now), now);
        while (!run.isFinished() && now <= request.deadline) {
            const std::size_t next = earliestAnswer();
            const time_point answerAt
                = next < m_seen.sends.size() ? m_seen.sends[next].answeredAt : time_point::max();
            const time_point wake = run.nextWake();
            m_seen.expect(wake <= request.deadline, "wakes after the deadline");
            now = std::max(now, std::min(answerAt, wake));
            if (answerAt <= now)
                deliver(run, next, now);
            if (!run.isFinished() && run.nextWake() <= now)
                perform(run.onTime(now), now);
        }
        m_seen.finished = run.isFinished();
        m_seen.finishedAt = now;
        m_seen.answer = run.answer();
        return m_seen;
    }

private:
    std::size_t earliestAnswer() const
    {
        std::size_t best = m_seen.sends.size();
        for (std::size_t i = 0; i < m_seen.sends.size(); ++i) {
            const sent_request &each = m_seen.sends[i];
            if (each.ended || each.cancelled || each.answeredAt == time_point::max())
                continue;
            if (best == m_seen.sends.size() || each.answeredAt < m_seen.sends[best].answeredAt)
                best = i;
        }
        return best;
    }

    void deliver(query_run &run, std::size_t which, time_point now)
    {
        m_seen.sends[which].ended = true;
        const leaf_response answer = m_seen.sends[which].answer;
        const int attempt = static_cast<int>(which) + 1;
        perform(run.onResponse(attempt, answer, now), now);
        perform(run.onResponse(attempt, answer, now), now); // each answer comes twice
    }

    void perform(query_actions actions, time_point now)
    {
        for (const int attempt : actions.cancels) {
            sent_request &cancelled = m_seen.sends.at(static_cast<std::size_t>(attempt) - 1);
            m_seen.expect(!cancelled.cancelled, "cancelled twice");
            m_seen.expect(!cancelled.ended, "cancelled after its end");
            cancelled.cancelled = true;
        }
        for (outgoing_leaf_request &outgoing : actions.sends) {
            m_seen.expect(outgoing.attempt == static_cast<int>(m_seen.sends.size()) + 1,
                          "attempts are not numbered in their order");
            sent_request sent;
            sent.answer = m_world.answerTo(outgoing);
            sent.answeredAt = m_world.answerTime(now);
            sent.outgoing = std::move(outgoing);
            sent.at = now;
            m_seen.sends.push_back(std::move(sent));
        }
    }

    scenario m_scenario;
    world m_world;
    history m_seen;
};

// Judges a history by what must always hold; knows nothing of how the run decides.
class checker
{
public:
    checker(const scenario &from, history &seen)
        : m_scenario(from), m_seen(seen), m_request(requestFor(from)),
          m_service(configurationFor(from)->services.at("standings"))
    {
    }

    void check()
    {
        m_seen.expect(m_seen.finished, "not finished at the deadline");
        m_seen.expect(m_seen.finishedAt <= m_request.deadline, "finished after the deadline");
        checkSends();
        checkSnapshots();
        checkCoverage();
        checkVerdicts();
        checkLoad();
        checkEnds();
        checkRedirects();
        checkSecondSnapshot();
    }

private:
    bool isRedirect(const leaf_response &answer) const
    {
        const bool elsewhere = answer.error == error_kind::not_owner
            || answer.error == error_kind::no_owner || answer.error == error_kind::draining
            || answer.error == error_kind::link_lost;
        return elsewhere && answer.outcome == verdict::not_run;
    }

    void checkSends()
    {
        for (std::size_t i = 0; i < m_seen.sends.size(); ++i) {
            const sent_request &sent = m_seen.sends[i];
            const leaf_request &request = sent.outgoing.request;
            m_seen.expect(sent.at < m_request.deadline, "sent at the deadline or after");
            m_seen.expect(sent.at + request.timeout <= m_request.deadline,
                          "a leaf request may outlast the deadline");
            const snapshot_config *snapshot = m_service.findSnapshot(request.snapshot);
            m_seen.expect(snapshot != nullptr, "sent for an unknown snapshot");
            if (!snapshot)
                continue;
            const std::string &group = snapshot->groupOfShard.at(request.shard);
            m_seen.expect(request.target.starts_with(group + "-"),
                          "sent to a target without the shard");
            if (!m_scenario.idempotent)
                checkResend(i);
        }
    }

    void checkResend(std::size_t which)
    {
        for (std::size_t i = 0; i < which; ++i) {
            const sent_request &before = m_seen.sends[i];
            const bool surelyNotRun = before.ended && before.answer.outcome == verdict::not_run
                && before.answer.error != error_kind::none;
            m_seen.expect(surelyNotRun, "a non-idempotent request was sent again");
        }
    }

    void checkSnapshots()
    {
        std::vector<std::string> order;
        for (const sent_request &sent : m_seen.sends) {
            if (order.empty() || order.back() != sent.outgoing.request.snapshot)
                order.push_back(sent.outgoing.request.snapshot);
        }
        m_seen.expect(order.size() <= 2, "more than two snapshots, or back to the first");
        if (!order.empty())
            m_seen.expect(order.back() == m_seen.answer.snapshot,
                          "the answer names another snapshot than was asked last");
    }

    std::vector<std::string> wantedShards() const
    {
        std::vector<std::string> wanted = m_request.shards;
        const snapshot_config *snapshot = m_service.findSnapshot(m_seen.answer.snapshot);
        if (wanted.empty() && snapshot) {
            for (const auto &[shard, group] : snapshot->groupOfShard)
                wanted.push_back(shard);
        }
        std::ranges::sort(wanted);
        wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
        return wanted;
    }

    void checkCoverage()
    {
        std::vector<std::string> told;
        for (const shard_result &result : m_seen.answer.results) {
            told.push_back(result.shard);
            const bool fromOneOfItsOwn = std::ranges::any_of(m_seen.sends, [&](const auto &sent) {
                return sent.ended && sent.answer.error == error_kind::none
                    && sent.outgoing.request.shard == result.shard
                    && sent.outgoing.request.snapshot == m_seen.answer.snapshot
                    && sent.answer.snapshot == m_seen.answer.snapshot
                    && sent.answer.body == result.body;
            });
            m_seen.expect(fromOneOfItsOwn, "a part is not of its shard and snapshot");
        }
        for (const uncovered_shard &missing : m_seen.answer.uncovered)
            told.push_back(missing.shard);
        std::ranges::sort(told);
        m_seen.expect(told == wantedShards(), "shards are not counted once each");
    }

    void checkVerdicts()
    {
        for (const uncovered_shard &missing : m_seen.answer.uncovered) {
            bool surelyNotRun = true;
            bool open = false;
            for (const sent_request &sent : m_seen.sends) {
                if (sent.outgoing.request.shard != missing.shard)
                    continue;
                surelyNotRun
                    = surelyNotRun && sent.ended && sent.answer.outcome == verdict::not_run;
                open = open
                    || (!sent.ended && sent.outgoing.request.snapshot == m_seen.answer.snapshot);
            }
            m_seen.expect((missing.outcome == verdict::not_run) == surelyNotRun,
                          "verdict not_run of an uncovered shard is wrong");
            m_seen.expect(missing.reason != error_kind::none, "an uncovered shard has no reason");
            m_seen.expect((missing.reason == error_kind::timed_out) == open,
                          "timed_out of an uncovered shard is wrong");
        }
    }

    void checkLoad()
    {
        // What surely reached no owner is no load, so its successor is none in addition.
        int firsts = 0;
        int extra = 0;
        std::set<std::pair<std::string, std::string>> begun; // snapshot and shard
        for (const sent_request &sent : m_seen.sends) {
            const leaf_request &request = sent.outgoing.request;
            const bool first = begun.emplace(request.snapshot, request.shard).second;
            const bool ofFirstSnapshot
                = request.snapshot == m_seen.sends.front().outgoing.request.snapshot;
            firsts += first && ofFirstSnapshot ? 1 : 0;
            extra += first ? 0 : 1;
            extra -= sent.ended && isRedirect(sent.answer) ? 1 : 0;
        }
        const int bound = m_scenario.saved + m_scenario.budgetPercent * firsts / 100;
        m_seen.expect(extra <= bound, "extra load is beyond the budget");
        m_seen.expect(m_seen.answer.leafRequests == static_cast<int>(m_seen.sends.size()),
                      "the answer's count of leaf requests is wrong");
    }

    void checkEnds()
    {
        for (const sent_request &sent : m_seen.sends)
            m_seen.expect(sent.ended || sent.cancelled, "an open request was not cancelled");
    }

    // A target that surely got nothing is replaced by another one while there is time.
    void checkRedirects()
    {
        for (const uncovered_shard &missing : m_seen.answer.uncovered) {
            std::set<std::string> asked;
            const sent_request *last = nullptr;
            for (const sent_request &sent : m_seen.sends) {
                if (sent.outgoing.request.shard != missing.shard
                    || sent.outgoing.request.snapshot != m_seen.answer.snapshot)
                    continue;
                asked.insert(sent.outgoing.request.target);
                last = &sent;
            }
            const bool redirected = last && last->ended && isRedirect(last->answer)
                && last->answeredAt < m_request.deadline;
            m_seen.expect(!redirected || static_cast<int>(asked.size()) == m_scenario.targets,
                          "no other target was asked after a refusal as not run");
        }
    }

    // A snapshot that no target has is given up for one that they have.
    void checkSecondSnapshot()
    {
        const bool othersAnswer = m_scenario.failingPercent == 0 && m_scenario.slowPercent == 0
            && !m_scenario.namesUnknown;
        if (!m_scenario.newestMissing || !othersAnswer || m_scenario.snapshots < 2
            || m_scenario.timeoutMs < ample_time_ms)
            return;
        m_seen.expect(m_seen.answer.uncovered.empty(),
                      "shards are uncovered though another snapshot is there");
    }

    scenario m_scenario;
    history &m_seen;
    query_request m_request;
    service_config m_service;
};

} // namespace

TEST_CASE("Whatever targets do, a query's answer is true")
{
    CHECK(rc::check([] {
        const scenario made = anyScenario();
        history seen = bench(made).play();
        checker(made, seen).check();
        for (const std::string &fault : seen.faults)
            RC_LOG() << fault << "\n";
        RC_ASSERT(seen.faults.empty());
    }));
}
