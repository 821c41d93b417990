// Plays planned moves of versions in virtual time over many seeds and prints how often good
// versions are rolled back and how many requests bad ones get before they are out.
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
constexpr int windows_until_in_force = 3; // 13 s for the configuration, and the driver's poll
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

// What is wrong with the new version, or with the whole site.
struct scenario
{
    const char *name;
    double errors = baseline_error_rate;
    double slowdown = 1;
    int fromShare = 0; // in permille: bad only from this share on
    int fromWindow = 0; // bad only from this window on
    int routes = route_count; // bad on so many routes
    bool disturbed = false; // both versions fail and are slow at times
    bool cold = false; // the new version is slow in the first window that it is asked in
    int slowVms = 0; // of the new version's 15 VMs, so many are five times as slow
    bool vmDies = false; // a VM of the new version dies with all it runs
    bool isBad() const { return errors > baseline_error_rate || slowdown > 1; }
};

enum class decision_rule {
    sequential, // version_evidence
    pooled, // the same without routes
    threshold, // a plain threshold on the last minute
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
    double spoiled = 0; // requests of the new version that failed or were slowed down
    double sinceBad = 0; // requests of the new version from when it turned bad
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

// Plain threshold over the last minute, all routes together: twice the errors of the old version
// and 1% more, or a 90th percentile half as slow again, with at least 100 requests.
class threshold_rule
{
public:
    void add(const version_counts &older, const version_counts &newer)
    {
        m_recent.emplace_back(older, newer);
        if (m_recent.size() > kept)
            m_recent.pop_front();
    }

    version_comparison compare(std::uint64_t requests) const
    {
        version_counts older;
        version_counts newer;
        for (const auto &[oldCounts, newCounts] : m_recent) {
            older.merge(oldCounts);
            newer.merge(newCounts);
        }
        version_comparison result;
        result.requests = requests;
        if (newer.ended() < min_requests || older.ended() < min_requests)
            return result;
        const double newRate = static_cast<double>(newer.failed) / newer.ended();
        const double oldRate = static_cast<double>(older.failed) / older.ended();
        const bool failing = newRate > 2 * oldRate && newRate > oldRate + 0.01;
        const bool slow = p90(newer) >= p90(older) + 2; // two buckets are 56%
        result.bad = failing || slow;
        return result;
    }

private:
    static constexpr std::size_t kept = 12;
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

// One move from its begin to its end.
class move_simulation
{
public:
    move_simulation(const scenario &what, decision_rule rule, double ratePerSecond, unsigned seed)
        : m_what(what), m_rule(rule), m_rate(ratePerSecond), m_random(seed),
          m_current(initialConfiguration())
    {
        m_record.plan = { "",   "standings", move_kind::version,      "v1",
                          "v2", m_begin,     m_begin + planned_length };
        m_record.plan.id = moveIdOf(m_record.plan);
        m_disturbedAt = std::uniform_int_distribution(20, 300)(m_random);
    }

    outcome play()
    {
        for (int window = 0; window < max_windows && !isFinal(m_record.state); ++window) {
            m_shares.push_back(m_current.services["standings"].findVersion("v2")->sharePermille);
            playWindow(window);
            decide(window);
        }
        m_outcome.rolledBack = m_record.state == move_state::rolled_back;
        m_outcome.done = m_record.state == move_state::done;
        if (m_outcome.rolledBack)
            playTail();
        return m_outcome;
    }

private:
    int shareInForce(int window) const
    {
        return window < windows_until_in_force
            ? 0
            : m_shares[static_cast<std::size_t>(window - windows_until_in_force)];
    }

    // What still goes to a version after its rollback was written.
    void playTail()
    {
        const int last = static_cast<int>(m_shares.size());
        for (int i = 0; i < windows_until_in_force; ++i) {
            m_shares.push_back(0);
            playWindow(last + i);
        }
    }

    bool isBadNow(int window, int share, int route) const
    {
        return window >= m_what.fromWindow && share >= m_what.fromShare && route < m_what.routes;
    }

    void playWindow(int window)
    {
        const int share = shareInForce(window);
        m_outcome.highestShare = std::max(m_outcome.highestShare, share);
        version_counts allOld;
        version_counts allNew;
        for (int node = 0; node < node_count; ++node) {
            evidence_window counted;
            counted.index = windowOf(m_begin) + window;
            for (int route = 0; route < route_count; ++route)
                playRoute(counted, window, share, node, route, allOld, allNew);
            m_evidence.put("n" + std::to_string(node), std::move(counted), timeAfter(window));
        }
        m_threshold.add(allOld, allNew);
        if (window > m_stepWindow)
            m_stepRequests += allNew.ended();
    }

    void playRoute(evidence_window &counted, int window, int share, int node, int route,
                   version_counts &allOld, version_counts &allNew)
    {
        const std::string name
            = m_rule == decision_rule::sequential ? "r" + std::to_string(route) : "";
        const bool disturbed = m_what.disturbed && window >= m_disturbedAt
            && window < m_disturbedAt + 12 && node != 0;
        const double mean = m_rate * window_seconds / node_count / route_count;
        const int requests = std::poisson_distribution<int>(mean)(m_random);
        const bool bad = isBadNow(window, share, route);
        version_counts addedOld;
        version_counts addedNew;
        for (int i = 0; i < requests; ++i) {
            const bool isNew = std::uniform_int_distribution(0, 999)(m_random) < share;
            const double errors = disturbed ? 0.3
                : isNew && bad              ? m_what.errors
                                            : baseline_error_rate;
            const int vm = std::uniform_int_distribution(0, vms - 1)(m_random);
            const bool slow = isNew && vm < m_what.slowVms;
            const bool cold = m_what.cold && isNew && window <= windows_until_in_force;
            const double slowdown = (disturbed ? 4 : 1) * (isNew && bad ? m_what.slowdown : 1)
                * (cold ? 4 : 1) * (slow ? 5 : 1);
            version_counts ended;
            ended.add(endOf(errors), latencyOf(slowdown));
            counted.rows[{ "standings", name, isNew ? "v2" : "v1", std::to_string(vm) }].merge(
                ended);
            (isNew ? addedNew : addedOld).merge(ended);
        }
        if (m_what.vmDies && window == m_disturbedAt && node == 0
            && route < requests_lost_with_vm) {
            addedNew.add(error_kind::target_lost, duration(20));
            counted.rows[{ "standings", name, "v2", "0" }].add(error_kind::target_lost,
                                                               duration(20));
        }
        allOld.merge(addedOld);
        allNew.merge(addedNew);
        m_outcome.newRequests += addedNew.ended();
        if (m_what.isBad() && bad) {
            m_outcome.sinceBad += addedNew.ended();
            m_outcome.spoiled += m_what.slowdown > 1 ? addedNew.ended() : addedNew.failed;
        }
    }

    error_kind endOf(double errors)
    {
        return m_unit(m_random) < errors ? error_kind::target_failed : error_kind::none;
    }

    duration latencyOf(double slowdown)
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

    const scenario &m_what;
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

void playAll(const scenario &what, decision_rule rule, double rate, int seeds)
{
    int rolledBack = 0;
    int inTime = 0;
    int done = 0;
    std::vector<double> requests;
    std::vector<double> spoiled;
    std::vector<double> minutes;
    std::vector<double> shares;
    for (int seed = 1; seed <= seeds; ++seed) {
        const outcome result
            = std::make_unique<move_simulation>(what, rule, rate, static_cast<unsigned>(seed))
                  ->play();
        rolledBack += result.rolledBack ? 1 : 0;
        done += result.done ? 1 : 0;
        inTime += result.inTime ? 1 : 0;
        requests.push_back(what.isBad() ? result.sinceBad : result.newRequests);
        spoiled.push_back(result.spoiled);
        minutes.push_back(result.minutes);
        shares.push_back(result.highestShare);
    }
    std::printf("| %-28s | %-10s | %5.0f | %4d | %4d | %4d | %7.0f | %7.0f | %7.0f | %7.0f | %3.0f "
                "| %4.0f |\n",
                what.name, std::string(nameOf(rule)).c_str(), rate, rolledBack, done, inTime,
                quantileOf(requests, 0.5), quantileOf(requests, 1), quantileOf(spoiled, 0.5),
                quantileOf(spoiled, 1), quantileOf(minutes, 0.5), quantileOf(shares, 1));
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
    for (const scenario &what : scenarios) {
        if (!std::string(what.name).starts_with(prefix))
            continue;
        for (const auto &[rule, name] : names(decision_rule {})) {
            if (onlyRule.empty() || onlyRule == name)
                playAll(what, rule, rate, seeds);
        }
    }
    return 0;
}
