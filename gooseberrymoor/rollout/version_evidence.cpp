#include "gooseberrymoor/rollout/version_evidence.h"

#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/sequential_detector.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

namespace gooseberrymoor {

namespace {

constexpr std::int64_t kept_windows = 120;
constexpr std::int64_t most_windows_ahead = 12; // clocks of VMs differ a little
constexpr std::int64_t least_planned_windows = 120;
constexpr double kinds_of_mark = 2; // errors and latency
constexpr double slow_fraction = 0.1; // of all requests, while the new version has few of them
// A version in doubt has this part of the logarithm of the evidence that makes it bad.
constexpr double doubt_fraction = 2.0 / 3;
// A VM that dies loses all it was running at once; that counts as so many errors a window.
constexpr std::uint32_t most_lost_a_window = 2;

constexpr odds_ratios error_ratios { 2, 5, 20, 100 };
constexpr odds_ratios latency_ratios { 1.5, 2.5, 5, 10 };

std::set<std::string> routesOf(const evidence_window &window, const std::string &service)
{
    std::set<std::string> routes;
    for (auto each = window.rows.lower_bound({ service, "", "" });
         each != window.rows.end() && each->first.service == service; ++each)
        routes.insert(each->first.route);
    return routes;
}

// The errors of one version in one window, with a limit over all strata for lost connections.
class error_tally
{
public:
    double errorsOf(const version_counts &counts)
    {
        const std::uint32_t lost = std::min(counts.lost, m_lostLeft);
        m_lostLeft -= lost;
        return counts.failed + counts.malformed + counts.timedOut + lost;
    }

private:
    std::uint32_t m_lostLeft = most_lost_a_window;
};

// The slow requests of both versions. What is slow follows from both together, so that it says
// nothing about either: the slowest tenth, or more where the new version has most requests.
marked_counts slowCounts(const version_counts &older, const version_counts &newer)
{
    marked_counts counts { static_cast<double>(older.timed()), static_cast<double>(newer.timed()),
                           0, 0 };
    const double total = counts.oldTotal + counts.newTotal;
    if (counts.oldTotal <= 0 || counts.newTotal <= 0)
        return counts;
    const double wanted = total * std::max(slow_fraction, counts.newTotal / total / 2);
    for (std::size_t i = latency_buckets; i-- > 0;) {
        const double more = older.latency[i] + newer.latency[i];
        if (counts.oldMarked + counts.newMarked + more > wanted)
            break;
        counts.oldMarked += older.latency[i];
        counts.newMarked += newer.latency[i];
    }
    return counts;
}

// The tests of one route, or of all routes together, and the sums that are shown to people.
struct route_tests
{
    sequential_detector errors;
    sequential_detector latency;
    marked_counts errorSums;
    marked_counts slowSums;
};

void addTo(marked_counts &sums, const marked_counts &more)
{
    sums.oldTotal += more.oldTotal;
    sums.newTotal += more.newTotal;
    sums.oldMarked += more.oldMarked;
    sums.newMarked += more.newMarked;
}

// Goes through the windows of one service in order of time.
class comparison_run
{
public:
    explicit comparison_run(const comparison_request &request) : m_request(request) { }

    void addWindow(std::int64_t index, const std::map<std::string, evidence_window> &nodes)
    {
        error_tally oldTally;
        error_tally newTally;
        for (const auto &[node, window] : nodes) {
            addNode(index, window, oldTally, newTally);
        }
        for (auto &[route, tests] : m_tests) {
            tests.errors.closeWindow();
            tests.latency.closeWindow();
        }
        m_all.errors.closeWindow();
        m_all.latency.closeWindow();
    }

    version_comparison result() const
    {
        version_comparison comparison;
        comparison.requests = m_requests;
        const double planned = std::max<double>(
            static_cast<double>(m_request.planned / evidence_window_length), least_planned_windows);
        const double tests = kinds_of_mark * (most_routes + 1);
        const double badAt = std::log(planned * tests / m_request.falseAlarms);
        double highest = 0;
        judge("", m_all, badAt, highest, comparison);
        for (const auto &[route, each] : m_tests)
            judge(route, each, badAt, highest, comparison);
        comparison.bad = highest >= badAt;
        comparison.doubtful = highest >= badAt * doubt_fraction;
        return comparison;
    }

private:
    // The rows of a service lie in order of their routes: each route's versions come together.
    void addNode(std::int64_t index, const evidence_window &window, error_tally &oldTally,
                 error_tally &newTally)
    {
        auto row = window.rows.lower_bound({ m_request.service, "", "" });
        while (row != window.rows.end() && row->first.service == m_request.service) {
            const std::string &route = row->first.route;
            const version_counts *older = nullptr;
            const version_counts *newer = nullptr;
            for (; row != window.rows.end() && row->first.service == m_request.service
                 && row->first.route == route;
                 ++row) {
                if (row->first.version == m_request.oldVersion)
                    older = &row->second;
                if (row->first.version == m_request.newVersion)
                    newer = &row->second;
            }
            if (newer && index > windowOf(m_request.countFrom))
                m_requests += newer->ended();
            if (older && newer)
                addStratum(index, route, *older, *newer, oldTally, newTally);
        }
    }

    void addStratum(std::int64_t index, const std::string &route, const version_counts &older,
                    const version_counts &newer, error_tally &oldTally, error_tally &newTally)
    {
        const marked_counts errors { static_cast<double>(older.ended()),
                                     static_cast<double>(newer.ended()), oldTally.errorsOf(older),
                                     newTally.errorsOf(newer) };
        const bool warm = index > windowOf(m_request.latencyFrom);
        const marked_counts slow = warm ? slowCounts(older, newer) : marked_counts {};
        const auto errorEvidence = logLikelihoodRatios(error_ratios, errors);
        const auto slowEvidence = logLikelihoodRatios(latency_ratios, slow);
        for (route_tests *tests : { &m_all, &m_tests[route] }) {
            tests->errors.add(errorEvidence);
            tests->latency.add(slowEvidence);
            addTo(tests->errorSums, errors);
            addTo(tests->slowSums, slow);
        }
    }

    // Makes `tests` the cause if they speak louder than all before.
    static void judge(const std::string &route, const route_tests &tests, double badAt,
                      double &highest, version_comparison &comparison)
    {
        const double errors = tests.errors.logEvidence();
        const double latency = tests.latency.logEvidence();
        const double louder = std::max(errors, latency);
        if (louder <= highest)
            return;
        highest = louder;
        const bool isError = errors >= latency;
        const marked_counts &sums = isError ? tests.errorSums : tests.slowSums;
        char text[160];
        std::snprintf(text, sizeof text,
                      "%s: new %.0f of %.0f, old %.0f of %.0f, log evidence %.1f of %.1f",
                      isError ? "errors" : "slow requests", sums.newMarked, sums.newTotal,
                      sums.oldMarked, sums.oldTotal, louder, badAt);
        comparison.cause
            = { isError ? rollback_reason::errors : rollback_reason::latency, route, text };
    }

    const comparison_request &m_request;
    route_tests m_all;
    std::map<std::string, route_tests> m_tests;
    std::uint64_t m_requests = 0;
};

std::string boundedName(const std::string &name)
{
    return name.substr(0, most_name_bytes);
}

// Whether a row of any version counts `route`.
bool hasRoute(const evidence_window &window, const std::string &service, const std::string &route)
{
    const auto found = window.rows.lower_bound({ service, route, "" });
    return found != window.rows.end() && found->first.service == service
        && found->first.route == route;
}

// The name under which `route` is counted: its own, as long as there are not too many.
std::string routeIn(const evidence_window &window, const std::string &service,
                    const std::string &route)
{
    if (hasRoute(window, service, route))
        return route;
    if (hasRoute(window, service, other_routes))
        return other_routes;
    return routesOf(window, service).size() + 1 < most_routes ? route : other_routes;
}

} // namespace

void version_evidence::record(const std::string &node, const leaf_observation &observation,
                              wall_time now)
{
    evidence_window &window = m_windows[windowOf(now)][node];
    window.index = windowOf(now);
    evidence_key key { boundedName(observation.service), boundedName(observation.route),
                       boundedName(observation.version) };
    auto found = window.rows.find(key);
    if (found == window.rows.end()) {
        key.route = routeIn(window, key.service, key.route);
        if (window.rows.size() >= most_evidence_rows)
            return;
        found = window.rows.try_emplace(std::move(key)).first;
    }
    found->second.add(observation.error, observation.latency);
}

void version_evidence::put(const std::string &node, evidence_window window, wall_time now)
{
    const std::int64_t present = windowOf(now);
    if (window.index > present + most_windows_ahead || window.index <= present - kept_windows)
        return;
    m_windows[window.index][node] = std::move(window);
}

void version_evidence::expire(wall_time now)
{
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(windowOf(now) - kept_windows));
}

std::vector<evidence_window> version_evidence::closedWindows(const std::string &node,
                                                             std::int64_t firstIndex,
                                                             wall_time now) const
{
    std::vector<evidence_window> closed;
    for (auto each = m_windows.lower_bound(firstIndex);
         each != m_windows.end() && each->first < windowOf(now); ++each) {
        const auto found = each->second.find(node);
        if (found != each->second.end())
            closed.push_back(found->second);
    }
    return closed;
}

version_comparison version_evidence::compare(const comparison_request &request, wall_time now) const
{
    comparison_run run(request);
    for (const auto &[index, nodes] : m_windows) {
        if (index < windowOf(now))
            run.addWindow(index, nodes);
    }
    return run.result();
}

} // namespace gooseberrymoor
