// Simulates version moves in virtual time over many seeds. Prints how often good versions are
// rolled back, and how many requests bad versions receive before the rollback is in force.
//
// Usage: rollout_benchmark [SEEDS [REQUESTS-PER-SECOND [SCENARIO-PREFIX [RULE]]]]

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/rollout/move_decision.h"
#include "gooseberrymoor/rollout/version_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace gooseberrymoor;

namespace {

constexpr int node_count = 3;
constexpr int route_count = 10;
// 13 s for the configuration and 2 s for the driver's poll.
constexpr int windows_until_in_force = 3;
constexpr std::chrono::minutes planned_length { 60 };
constexpr int max_windows = 900; // 75 minutes
constexpr double baseline_error_rate = 0.002;
constexpr double baseline_median_ms = 20;
constexpr double latency_spread = 0.5;
constexpr int default_seeds = 100;
constexpr double default_rate = 200;
constexpr double window_seconds = 5;
constexpr int requests_lost_with_vm = 6;
constexpr int vms = 15;

// A fault of the new version, or a disturbance of both versions.
struct scenario
{
    const char *name;
    double errors = baseline_error_rate;
    double slowdown = 1;
    int fromShare = 0; // bad from this share on, in permille
    int fromWindow = 0; // bad from this window on
    int routes = route_count; // number of routes on which it is bad
    bool disturbed = false; // both versions fail and are slow at two nodes for one minute
    bool cold = false; // the new version is slow in the first window in which it gets requests
    int slowVms = 0; // number of the new version's 15 VMs that are five times as slow
    bool vmDies = false; // a VM of the new version dies with all its running requests
    bool isBad() const { return errors > baseline_error_rate || slowdown > 1; }
};

enum class decision_rule {
    sequential, // version_evidence
    pooled, // version_evidence with all routes as one
    threshold, // fixed thresholds on the last minute
};

constexpr name_table<decision_rule, 3> names(decision_rule)
{
    return { { { decision_rule::sequential, "sequential" },
               { decision_rule::pooled, "no routes" },
               { decision_rule::threshold, "threshold" } } };
}

struct outcome
{
    bool rolledBack = false;
    bool done = false;
    bool inTime = false;
    int minutes = 0;
    double newRequests = 0;
    double affectedRequests = 0; // requests of the new version that failed or were slowed down
    double newRequestsSinceBad = 0; // requests of the new version since it turned bad
    int highestShare = 0;
};

configuration initialConfiguration()
{
    configuration current;
    current.revision = 1;
    service_config service;
    service.name = "standings";
    service.limits.warmup = duration(5000);
    service.versions = { { "v1", 1000, false }, { "v2", 0, false } };
    current.services["standings"] = service;
    return current;
}

// Fixed thresholds over the last minute and all routes: more than twice the error rate of the old
// version and more than one percentage point above it, or a 90th percentile of latency at least two
// buckets higher. Each version needs at least 100 requests.
class threshold_rule
{
public:
    void add(const version_counts &oldCounts, const version_counts &newCounts)
    {
        m_recent.emplace_back(oldCounts, newCounts);
        if (m_recent.size() > window_count)
            m_recent.pop_front();
    }

    version_comparison compare(std::uint64_t requests) const
    {
        version_counts oldSum;
        version_counts newSum;
        for (const auto &[oldCounts, newCounts] : m_recent) {
            oldSum.merge(oldCounts);
            newSum.merge(newCounts);
        }
        version_comparison result;
        result.requests = requests;
        if (newSum.ended() < min_requests || oldSum.ended() < min_requests)
            return result;
        const double newRate = static_cast<double>(newSum.failed) / newSum.ended();
        const double oldRate = static_cast<double>(oldSum.failed) / oldSum.ended();
        const bool failing = newRate > 2 * oldRate && newRate > oldRate + 0.01;
        const bool slow = p90(newSum) >= p90(oldSum) + 2; // two buckets are a factor of 1.56
        result.bad = failing || slow;
        return result;
    }

private:
    static constexpr std::size_t window_count = 12;
    static constexpr std::uint32_t min_requests = 100;

    static int p90(const version_counts &counts)
    {
        double seen = 0;
        for (std::size_t i = 0; i < latency_buckets; ++i) {
            seen += counts.latency[i];
            if (seen >= 0.9 * counts.latencySamples())
                return static_cast<int>(i);
        }
        return static_cast<int>(latency_buckets);
    }

    std::deque<std::pair<version_counts, version_counts>> m_recent;
};

// Simulates one move from its begin to its end.
class move_simulation
{
public:
    move_simulation(const scenario &setup, decision_rule rule, double ratePerSecond, unsigned seed)
        : m_scenario(setup), m_rule(rule), m_rate(ratePerSecond), m_random(seed),
          m_current(initialConfiguration())
    {
        m_record.plan = { "",   "standings", move_kind::version,      "v1",
                          "v2", m_begin,     m_begin + planned_length };
        m_record.plan.id = moveIdOf(m_record.plan);
        m_disturbedAt = std::uniform_int_distribution(20, 300)(m_random);
    }

    outcome simulate()
    {
        for (int window = 0; window < max_windows && !isFinal(m_record.state); ++window) {
            m_shares.push_back(m_current.services["standings"].findVersion("v2")->sharePermille);
            simulateWindow(window);
            decide(window);
        }
        m_outcome.rolledBack = m_record.state == move_state::rolled_back;
        m_outcome.done = m_record.state == move_state::done;
        if (m_outcome.rolledBack)
            simulateRollbackDelay();
        return m_outcome;
    }

private:
    int shareInForce(int window) const
    {
        return window < windows_until_in_force
            ? 0
            : m_shares[static_cast<std::size_t>(window - windows_until_in_force)];
    }

    // Simulates the requests that a version still receives after its rollback was written.
    void simulateRollbackDelay()
    {
        const int last = static_cast<int>(m_shares.size());
        for (int i = 0; i < windows_until_in_force; ++i) {
            m_shares.push_back(0);
            simulateWindow(last + i);
        }
    }

    bool isBadNow(int window, int share, int route) const
    {
        return window >= m_scenario.fromWindow && share >= m_scenario.fromShare
            && route < m_scenario.routes;
    }

    void simulateWindow(int window)
    {
        const int share = shareInForce(window);
        m_outcome.highestShare = std::max(m_outcome.highestShare, share);
        version_counts allOld;
        version_counts allNew;
        for (int node = 0; node < node_count; ++node) {
            evidence_window nodeWindow;
            nodeWindow.index = windowOf(m_begin) + window;
            for (int route = 0; route < route_count; ++route)
                simulateRoute(nodeWindow, window, share, node, route, allOld, allNew);
            m_evidence.put("n" + std::to_string(node), std::move(nodeWindow), timeAfter(window));
        }
        m_threshold.add(allOld, allNew);
        if (window > m_stepWindow)
            m_stepRequests += allNew.ended();
    }

    void simulateRoute(evidence_window &nodeWindow, int window, int share, int node, int route,
                       version_counts &allOld, version_counts &allNew)
    {
        const std::string name
            = m_rule == decision_rule::sequential ? "r" + std::to_string(route) : "";
        const bool disturbed = m_scenario.disturbed && window >= m_disturbedAt
            && window < m_disturbedAt + 12 && node != 0;
        const double mean = m_rate * window_seconds / node_count / route_count;
        const int requests = std::poisson_distribution<int>(mean)(m_random);
        const bool bad = isBadNow(window, share, route);
        version_counts addedOld;
        version_counts addedNew;
        for (int i = 0; i < requests; ++i) {
            const bool isNew = std::uniform_int_distribution(0, 999)(m_random) < share;
            const double errors = disturbed ? 0.3
                : isNew && bad              ? m_scenario.errors
                                            : baseline_error_rate;
            const int vm = std::uniform_int_distribution(0, vms - 1)(m_random);
            const bool slow = isNew && vm < m_scenario.slowVms;
            const bool cold = m_scenario.cold && isNew && window <= windows_until_in_force;
            const double slowdown = (disturbed ? 4 : 1) * (isNew && bad ? m_scenario.slowdown : 1)
                * (cold ? 4 : 1) * (slow ? 5 : 1);
            version_counts ended;
            ended.add(randomOutcome(errors), randomLatency(slowdown));
            nodeWindow.rows[{ "standings", name, isNew ? "v2" : "v1", std::to_string(vm) }].merge(
                ended);
            (isNew ? addedNew : addedOld).merge(ended);
        }
        if (m_scenario.vmDies && window == m_disturbedAt && node == 0
            && route < requests_lost_with_vm) {
            addedNew.add(error_kind::target_lost, duration(20));
            nodeWindow.rows[{ "standings", name, "v2", "0" }].add(error_kind::target_lost,
                                                                  duration(20));
        }
        allOld.merge(addedOld);
        allNew.merge(addedNew);
        m_outcome.newRequests += addedNew.ended();
        if (m_scenario.isBad() && bad) {
            m_outcome.newRequestsSinceBad += addedNew.ended();
            m_outcome.affectedRequests
                += m_scenario.slowdown > 1 ? addedNew.ended() : addedNew.failed;
        }
    }

    error_kind randomOutcome(double errors)
    {
        return m_unit(m_random) < errors ? error_kind::target_failed : error_kind::none;
    }

    duration randomLatency(double slowdown)
    {
        return duration(static_cast<std::int64_t>(baseline_median_ms * slowdown
                                                  * std::exp(latency_spread * m_normal(m_random))));
    }

    wall_time timeAfter(int window) const
    {
        return m_begin + evidence_window_length * (window + 1);
    }

    void decide(int window)
    {
        const wall_time now = timeAfter(window);
        const comparison_request request = comparisonFor(m_record, m_current, m_timing);
        version_comparison comparison;
        if (m_record.state != move_state::planned)
            comparison = m_rule == decision_rule::threshold ? m_threshold.compare(m_stepRequests)
                                                            : m_evidence.compare(request, now);
        m_evidence.expire(now);
        const auto step = decideMove(m_record, m_current, comparison, m_timing, now);
        if (!step)
            return;
        if (step->next.step != m_record.step) {
            m_stepWindow = window;
            m_stepRequests = 0;
        }
        m_record = step->next;
        if (step->service)
            m_current.services["standings"] = *step->service;
        if (m_record.state == move_state::done)
            m_outcome.inTime = now <= m_record.plan.finishBy;
        m_outcome.minutes = static_cast<int>((now - m_begin) / std::chrono::minutes(1));
    }

    const scenario &m_scenario;
    decision_rule m_rule;
    double m_rate;
    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_unit { 0, 1 };
    std::normal_distribution<double> m_normal;
    wall_time m_begin { std::chrono::hours(24 * 365) };
    configuration m_current;
    move_timing m_timing;
    move_record m_record;
    version_evidence m_evidence;
    threshold_rule m_threshold;
    std::vector<int> m_shares;
    int m_disturbedAt = 0;
    int m_stepWindow = 0;
    std::uint64_t m_stepRequests = 0;
    outcome m_outcome;
};

double quantileOf(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void simulateAll(const scenario &setup, decision_rule rule, double rate, int seeds)
{
    int rolledBack = 0;
    int inTime = 0;
    int done = 0;
    std::vector<double> requests;
    std::vector<double> affectedRequests;
    std::vector<double> minutes;
    std::vector<double> shares;
    for (int seed = 1; seed <= seeds; ++seed) {
        const outcome result
            = std::make_unique<move_simulation>(setup, rule, rate, static_cast<unsigned>(seed))
                  ->simulate();
        rolledBack += result.rolledBack ? 1 : 0;
        done += result.done ? 1 : 0;
        inTime += result.inTime ? 1 : 0;
        requests.push_back(setup.isBad() ? result.newRequestsSinceBad : result.newRequests);
        affectedRequests.push_back(result.affectedRequests);
        minutes.push_back(result.minutes);
        shares.push_back(result.highestShare);
    }
    std::printf("| %-28s | %-10s | %5.0f | %4d | %4d | %4d | %7.0f | %7.0f | %7.0f | %7.0f | %3.0f "
                "| %4.0f |\n",
                setup.name, std::string(nameOf(rule)).c_str(), rate, rolledBack, done, inTime,
                quantileOf(requests, 0.5), quantileOf(requests, 1),
                quantileOf(affectedRequests, 0.5), quantileOf(affectedRequests, 1),
                quantileOf(minutes, 0.5), quantileOf(shares, 1));
    std::fflush(stdout);
}

const std::vector<scenario> scenarios {
    { "good" },
    { .name = "good, site disturbed", .disturbed = true },
    { .name = "good, cold at first", .cold = true },
    { .name = "good, one VM dies", .vmDies = true },
    { .name = "good, one VM of 15 is slow", .slowVms = 1 },
    { .name = "errors 5% at once", .errors = 0.05 },
    { .name = "errors 20% at once", .errors = 0.2 },
    { .name = "errors 100% at once", .errors = 1 },
    { .name = "slowdown 2x at once", .slowdown = 2 },
    { .name = "errors 20% after 25 min", .errors = 0.2, .fromWindow = 300 },
    { .name = "slowdown 2x from share 25%", .slowdown = 2, .fromShare = 250 },
    { .name = "errors 20% from share 50%", .errors = 0.2, .fromShare = 500 },
    { .name = "errors 20%, one route of 10", .errors = 0.2, .routes = 1 },
    { .name = "slowdown 2x, one route of 10", .slowdown = 2, .routes = 1 },
    { .name = "errors 20%, site disturbed", .errors = 0.2, .disturbed = true },
};

} // namespace

int main(int argc, char *argv[])
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : default_seeds;
    const double rate = argc > 2 ? std::atof(argv[2]) : default_rate;
    const std::string prefix = argc > 3 ? argv[3] : "";
    const std::string onlyRule = argc > 4 ? argv[4] : "";
    std::printf("%d seeds each\n", seeds);
    std::printf("| scenario | rule | requests/s | rolled back | done | in time | requests, median "
                "| highest | spoiled, median | highest | minutes, median | highest share |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const scenario &setup : scenarios) {
        if (!std::string(setup.name).starts_with(prefix))
            continue;
        for (const auto &[rule, name] : names(decision_rule {})) {
            if (onlyRule.empty() || onlyRule == name)
                simulateAll(setup, rule, rate, seeds);
        }
    }
    return 0;
}
