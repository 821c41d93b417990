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

const time_point start_time { duration(1000) };
constexpr int max_saved_requests = 40;
constexpr int sufficient_timeout_ms = 100;

// A generated test case: a service, a request, and how targets behave.
struct scenario
{
    int groups = 1;
    int targets = 1; // of each group
    int shards = 1;
    int snapshots = 1;
    bool idempotent = true;
    bool namesShards = false; // the request names its shards, each of them twice
    int timeoutMs = 100;
    int budgetPercent = 50;
    int savedRequests = 0; // initial budget
    int hedgeMs = 20;
    int failingPercent = 30;
    int slowPercent = 20;
    bool namesUnknownShard = false; // the request also names a shard that no snapshot has
    bool newestMissing = false; // no target has the newest snapshot
    std::uint64_t seed = 0;
};

scenario arbitraryScenario()
{
    scenario generated;
    generated.groups = *rc::gen::inRange(1, 4);
    generated.targets = *rc::gen::inRange(1, 5);
    generated.shards = *rc::gen::inRange(1, 9);
    generated.snapshots = *rc::gen::inRange(1, 4);
    generated.idempotent = *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } });
    generated.namesShards = !generated.idempotent || *rc::gen::arbitrary<bool>();
    generated.timeoutMs = *rc::gen::inRange(1, 300);
    generated.budgetPercent = *rc::gen::element(0, 5, 50, 100);
    generated.savedRequests
        = generated.budgetPercent == 0 ? 0 : *rc::gen::inRange(0, max_saved_requests + 1);
    generated.hedgeMs = *rc::gen::inRange(1, 60);
    generated.failingPercent = *rc::gen::element(0, 10, 50, 90, 100);
    generated.slowPercent = *rc::gen::element(0, 10, 50, 100);
    generated.namesUnknownShard
        = generated.idempotent && generated.namesShards && *rc::gen::inRange(0, 4) == 0;
    generated.newestMissing = *rc::gen::inRange(0, 4) == 0;
    generated.seed = *rc::gen::arbitrary<std::uint64_t>();
    return generated;
}

std::string shardName(int index)
{
    return "s" + std::to_string(index);
}

std::shared_ptr<const configuration> makeConfiguration(const scenario &input)
{
    auto result = std::make_shared<configuration>();
    service_config service;
    service.name = "standings";
    for (int g = 0; g < input.groups; ++g) {
        group_config group { "g" + std::to_string(g), {} };
        for (int t = 0; t < input.targets; ++t) {
            const std::string name = group.name + "-" + std::to_string(t);
            group.targets.push_back({ name, { "127.0.0.1", 9001 }, "kl-a", "v1", false });
        }
        service.groups.push_back(group);
    }
    for (int s = 0; s < input.snapshots; ++s) {
        snapshot_config snapshot { "snap" + std::to_string(s), {} };
        // Each snapshot maps shards to other groups and has one shard more than the one before.
        for (int i = 0; i < input.shards + s; ++i)
            snapshot.groupOfShard[shardName(i)] = "g" + std::to_string((i + s) % input.groups);
        service.snapshots.push_back(snapshot);
    }
    service.versions = { { "v1", 1000, false } };
    result->services["standings"] = service;
    return result;
}

query_request makeRequest(const scenario &input)
{
    query_request request {
        "standings", {}, "q", input.idempotent, start_time + duration(input.timeoutMs)
    };
    if (!input.idempotent)
        request.shards = { shardName(0) };
    else if (input.namesShards) {
        for (int i = 0; i < input.shards; i += 2) {
            request.shards.push_back(shardName(i));
            request.shards.push_back(shardName(i));
        }
        if (input.namesUnknownShard)
            request.shards.push_back("nowhere");
    }
    return request;
}

struct sent_request
{
    outgoing_leaf_request outgoing;
    time_point at;
    bool cancelled = false;
    bool ended = false; // answered before it was cancelled
    leaf_response answer;
    time_point answeredAt = time_point::max();
};

// Everything that the query did, as observed from outside.
struct history
{
    std::vector<sent_request> sends; // attempt n at index n - 1
    std::vector<std::string> violations;
    query_answer answer;
    time_point finishedAt;
    bool finished = false;

    void expect(bool holds, const std::string &what)
    {
        if (!holds)
            violations.push_back(what);
    }
};

leaf_response makeFailure(error_kind kind, verdict outcome)
{
    return { 0, kind, outcome, "", "", 0 };
}

// Simulates the targets and the links to them; their behavior follows a seed.
class simulated_targets
{
public:
    explicit simulated_targets(const scenario &input) : m_scenario(input), m_random(input.seed) { }

    leaf_response answerTo(const outgoing_leaf_request &outgoing)
    {
        const leaf_request &request = outgoing.request;
        const std::string newest = "snap" + std::to_string(m_scenario.snapshots - 1);
        if (m_scenario.newestMissing && request.snapshot == newest)
            return makeFailure(error_kind::snapshot_unavailable, verdict::not_run);
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
            return makeFailure(error_kind::overloaded, verdict::not_run);
        case 1:
            return makeFailure(error_kind::not_owner, verdict::not_run);
        case 2:
            return makeFailure(error_kind::no_owner, verdict::not_run);
        case 3:
            return makeFailure(error_kind::draining, verdict::not_run);
        case 4:
            return makeFailure(error_kind::link_lost, verdict::not_run);
        case 5:
            return makeFailure(error_kind::link_lost, verdict::may_have_run);
        case 6:
            return makeFailure(error_kind::target_lost, verdict::may_have_run);
        case 7:
            return makeFailure(error_kind::target_failed, verdict::may_have_run);
        case 8:
            return makeFailure(error_kind::malformed_answer, verdict::may_have_run);
        case 9: // answer from another snapshot
            return { 0, error_kind::none, verdict::completed, "other", "wrong", 0 };
        default:
            return makeFailure(error_kind::snapshot_unavailable, verdict::not_run);
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

// Drives one query in virtual time and records what it does.
class query_simulation
{
public:
    explicit query_simulation(const scenario &input) : m_scenario(input), m_targets(input) { }

    history simulate()
    {
        least_outstanding_selector selector(m_scenario.seed);
        fixed_hedge_policy hedging { duration(m_scenario.hedgeMs) };
        extra_request_budget budget(m_scenario.budgetPercent);
        while (budget.available() > m_scenario.savedRequests)
            budget.tryTakeRetry();
        snapshot_selector snapshots;
        std::mt19937_64 random(m_scenario.seed);
        const query_request request = makeRequest(m_scenario);
        cell_view view;
        view.put({ "n1", 1, "kl-a", { "127.0.0.1", 7001 }, { "127.0.0.1", 8001 }, false });
        const auto routes
            = std::make_shared<leaf_candidate_table>(makeConfiguration(m_scenario), view);
        query_run run(request, routes, { selector, hedging, budget, snapshots, random });
        time_point now = start_time;
        perform(run.start(now), now);
        while (!run.isFinished() && now <= request.deadline) {
            const std::size_t next = earliestAnswer();
            const time_point answerAt = next < m_recorded.sends.size()
                ? m_recorded.sends[next].answeredAt
                : time_point::max();
            const time_point wake = run.nextWake();
            m_recorded.expect(wake <= request.deadline, "wakes after the deadline");
            now = std::max(now, std::min(answerAt, wake));
            if (answerAt <= now)
                deliver(run, next, now);
            if (!run.isFinished() && run.nextWake() <= now)
                perform(run.onTime(now), now);
        }
        m_recorded.finished = run.isFinished();
        m_recorded.finishedAt = now;
        m_recorded.answer = run.answer();
        return m_recorded;
    }

private:
    std::size_t earliestAnswer() const
    {
        std::size_t earliest = m_recorded.sends.size();
        for (std::size_t i = 0; i < m_recorded.sends.size(); ++i) {
            const sent_request &each = m_recorded.sends[i];
            if (each.ended || each.cancelled || each.answeredAt == time_point::max())
                continue;
            if (earliest == m_recorded.sends.size()
                || each.answeredAt < m_recorded.sends[earliest].answeredAt)
                earliest = i;
        }
        return earliest;
    }

    void deliver(query_run &run, std::size_t sendIndex, time_point now)
    {
        m_recorded.sends[sendIndex].ended = true;
        const leaf_response answer = m_recorded.sends[sendIndex].answer;
        const int attempt = static_cast<int>(sendIndex) + 1;
        perform(run.onResponse(attempt, answer, now), now);
        perform(run.onResponse(attempt, answer, now), now); // duplicate answer
    }

    void perform(query_actions actions, time_point now)
    {
        for (const int attempt : actions.cancels) {
            sent_request &cancelled = m_recorded.sends.at(static_cast<std::size_t>(attempt) - 1);
            m_recorded.expect(!cancelled.cancelled, "cancelled twice");
            m_recorded.expect(!cancelled.ended, "cancelled after it ended");
            cancelled.cancelled = true;
        }
        for (outgoing_leaf_request &outgoing : actions.sends) {
            m_recorded.expect(outgoing.attempt == static_cast<int>(m_recorded.sends.size()) + 1,
                              "attempts are not numbered consecutively");
            sent_request sent;
            sent.answer = m_targets.answerTo(outgoing);
            sent.answeredAt = m_targets.answerTime(now);
            sent.outgoing = std::move(outgoing);
            sent.at = now;
            m_recorded.sends.push_back(std::move(sent));
        }
    }

    scenario m_scenario;
    simulated_targets m_targets;
    history m_recorded;
};

// Checks a history for violations of invariants, without knowledge of how the query decides.
class history_checker
{
public:
    history_checker(const scenario &input, history &recorded)
        : m_scenario(input), m_recorded(recorded), m_request(makeRequest(input)),
          m_service(makeConfiguration(input)->services.at("standings"))
    {
    }

    void check()
    {
        m_recorded.expect(m_recorded.finished, "not finished at the deadline");
        m_recorded.expect(m_recorded.finishedAt <= m_request.deadline,
                          "finished after the deadline");
        checkSends();
        checkSnapshots();
        checkCoverage();
        checkVerdicts();
        checkLoad();
        checkCancellations();
        checkRedirects();
        checkSecondSnapshot();
    }

private:
    bool isRedirectable(const leaf_response &answer) const
    {
        const bool notDispatched = answer.error == error_kind::not_owner
            || answer.error == error_kind::no_owner || answer.error == error_kind::draining
            || answer.error == error_kind::link_lost;
        return notDispatched && answer.outcome == verdict::not_run;
    }

    void checkSends()
    {
        for (std::size_t i = 0; i < m_recorded.sends.size(); ++i) {
            const sent_request &sent = m_recorded.sends[i];
            const leaf_request &request = sent.outgoing.request;
            m_recorded.expect(sent.at < m_request.deadline, "sent at or after the deadline");
            m_recorded.expect(sent.at + request.timeout <= m_request.deadline,
                              "a leaf request may outlast the deadline");
            const snapshot_config *snapshot = m_service.findSnapshot(request.snapshot);
            m_recorded.expect(snapshot != nullptr, "sent for an unknown snapshot");
            if (!snapshot)
                continue;
            const std::string &group = snapshot->groupOfShard.at(request.shard);
            m_recorded.expect(request.target.starts_with(group + "-"),
                              "sent to a target that does not hold the shard");
            if (!m_scenario.idempotent)
                checkNoResend(i);
        }
    }

    void checkNoResend(std::size_t sendIndex)
    {
        for (std::size_t i = 0; i < sendIndex; ++i) {
            const sent_request &earlierSend = m_recorded.sends[i];
            const bool definitelyNotRun = earlierSend.ended
                && earlierSend.answer.outcome == verdict::not_run
                && earlierSend.answer.error != error_kind::none;
            m_recorded.expect(definitelyNotRun,
                              "a non-idempotent request that may have run was sent again");
        }
    }

    void checkSnapshots()
    {
        std::vector<std::string> snapshotOrder;
        for (const sent_request &sent : m_recorded.sends) {
            if (snapshotOrder.empty() || snapshotOrder.back() != sent.outgoing.request.snapshot)
                snapshotOrder.push_back(sent.outgoing.request.snapshot);
        }
        m_recorded.expect(snapshotOrder.size() <= 2,
                          "used more than two snapshots, or returned to the first");
        if (!snapshotOrder.empty())
            m_recorded.expect(snapshotOrder.back() == m_recorded.answer.snapshot,
                              "the answer does not name the last snapshot used");
    }

    std::vector<std::string> requestedShards() const
    {
        std::vector<std::string> requested = m_request.shards;
        const snapshot_config *snapshot = m_service.findSnapshot(m_recorded.answer.snapshot);
        if (requested.empty() && snapshot) {
            for (const auto &[shard, group] : snapshot->groupOfShard)
                requested.push_back(shard);
        }
        std::ranges::sort(requested);
        requested.erase(std::unique(requested.begin(), requested.end()), requested.end());
        return requested;
    }

    void checkCoverage()
    {
        std::vector<std::string> reportedShards;
        for (const shard_result &result : m_recorded.answer.results) {
            reportedShards.push_back(result.shard);
            const bool hasMatchingAnswer
                = std::ranges::any_of(m_recorded.sends, [&](const auto &sent) {
                      return sent.ended && sent.answer.error == error_kind::none
                          && sent.outgoing.request.shard == result.shard
                          && sent.outgoing.request.snapshot == m_recorded.answer.snapshot
                          && sent.answer.snapshot == m_recorded.answer.snapshot
                          && sent.answer.body == result.body;
                  });
            m_recorded.expect(hasMatchingAnswer, "a part comes from another shard or snapshot");
        }
        for (const uncovered_shard &uncoveredShard : m_recorded.answer.uncovered)
            reportedShards.push_back(uncoveredShard.shard);
        std::ranges::sort(reportedShards);
        m_recorded.expect(reportedShards == requestedShards(),
                          "the requested shards are not reported exactly once each");
    }

    void checkVerdicts()
    {
        for (const uncovered_shard &uncoveredShard : m_recorded.answer.uncovered) {
            bool definitelyNotRun = true;
            bool isOutstanding = false;
            for (const sent_request &sent : m_recorded.sends) {
                if (sent.outgoing.request.shard != uncoveredShard.shard)
                    continue;
                definitelyNotRun
                    = definitelyNotRun && sent.ended && sent.answer.outcome == verdict::not_run;
                isOutstanding = isOutstanding
                    || (!sent.ended
                        && sent.outgoing.request.snapshot == m_recorded.answer.snapshot);
            }
            m_recorded.expect((uncoveredShard.outcome == verdict::not_run) == definitelyNotRun,
                              "verdict not_run of an uncovered shard is wrong");
            m_recorded.expect(uncoveredShard.reason != error_kind::none,
                              "an uncovered shard has no reason");
            m_recorded.expect((uncoveredShard.reason == error_kind::timed_out) == isOutstanding,
                              "timed_out of an uncovered shard is wrong");
        }
    }

    void checkLoad()
    {
        // A request that definitely reached no target caused no load there, so the request that
        // replaces it is not counted as extra.
        int firstRequests = 0;
        int extraRequests = 0;
        std::set<std::pair<std::string, std::string>> seenShards; // snapshot and shard
        for (const sent_request &sent : m_recorded.sends) {
            const leaf_request &request = sent.outgoing.request;
            const bool first = seenShards.emplace(request.snapshot, request.shard).second;
            const bool isFirstSnapshot
                = request.snapshot == m_recorded.sends.front().outgoing.request.snapshot;
            firstRequests += first && isFirstSnapshot ? 1 : 0;
            extraRequests += first ? 0 : 1;
            extraRequests -= sent.ended && isRedirectable(sent.answer) ? 1 : 0;
        }
        const int maxExtraRequests
            = m_scenario.savedRequests + m_scenario.budgetPercent * firstRequests / 100;
        m_recorded.expect(extraRequests <= maxExtraRequests, "extra load is beyond the budget");
        m_recorded.expect(m_recorded.answer.leafRequests
                              == static_cast<int>(m_recorded.sends.size()),
                          "the answer's count of leaf requests is wrong");
    }

    void checkCancellations()
    {
        for (const sent_request &sent : m_recorded.sends)
            m_recorded.expect(sent.ended || sent.cancelled,
                              "an outstanding request was not cancelled");
    }

    // A request that definitely did not reach its target is sent to another target, until all have
    // been tried or the deadline has passed.
    void checkRedirects()
    {
        for (const uncovered_shard &uncoveredShard : m_recorded.answer.uncovered) {
            std::set<std::string> triedTargets;
            const sent_request *last = nullptr;
            for (const sent_request &sent : m_recorded.sends) {
                if (sent.outgoing.request.shard != uncoveredShard.shard
                    || sent.outgoing.request.snapshot != m_recorded.answer.snapshot)
                    continue;
                triedTargets.insert(sent.outgoing.request.target);
                last = &sent;
            }
            const bool redirected = last && last->ended && isRedirectable(last->answer)
                && last->answeredAt < m_request.deadline;
            m_recorded.expect(!redirected
                                  || static_cast<int>(triedTargets.size()) == m_scenario.targets,
                              "not all targets were tried after a refusal as not run");
        }
    }

    // If no target has the query's snapshot, the query is restarted on an available snapshot.
    void checkSecondSnapshot()
    {
        const bool targetsAlwaysAnswer = m_scenario.failingPercent == 0
            && m_scenario.slowPercent == 0 && !m_scenario.namesUnknownShard;
        if (!m_scenario.newestMissing || !targetsAlwaysAnswer || m_scenario.snapshots < 2
            || m_scenario.timeoutMs < sufficient_timeout_ms)
            return;
        m_recorded.expect(m_recorded.answer.uncovered.empty(),
                          "shards are uncovered although another snapshot is available");
    }

    scenario m_scenario;
    history &m_recorded;
    query_request m_request;
    service_config m_service;
};

} // namespace

TEST_CASE("A query's answer agrees with its leaf responses, whatever faults occur")
{
    CHECK(rc::check([] {
        const scenario generated = arbitraryScenario();
        history recorded = query_simulation(generated).simulate();
        history_checker(generated, recorded).check();
        for (const std::string &violation : recorded.violations)
            RC_LOG() << violation << "\n";
        RC_ASSERT(recorded.violations.empty());
    }));
}
