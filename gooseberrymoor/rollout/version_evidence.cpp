#include "gooseberrymoor/rollout/version_evidence.h"

#include "gooseberrymoor/rollout/leaf_observation.h"
#include "gooseberrymoor/rollout/sequential_detector.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
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
// A target with this part of a version's requests cannot be told from the version.
constexpr double dominant_part = 2.0 / 3;

constexpr odds_ratios error_ratios { 2, 5, 20, 100 };
constexpr odds_ratios latency_ratios { 1.5, 2.5, 5, 10 };

std::set<std::string> routesOf(const evidence_window &window, const std::string &service)
{
    std::set<std::string> routes;
    for (auto each = window.rows.lower_bound({ service, "", "", "" });
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

// The first bucket of the slow requests. What is slow follows from both versions together, so that
// it says nothing about either: the slowest tenth, or more where the new version has most requests.
std::size_t slowFrom(const version_counts &older, const version_counts &newer)
{
    const double oldTotal = older.timed();
    const double newTotal = newer.timed();
    const double total = oldTotal + newTotal;
    if (oldTotal <= 0 || newTotal <= 0)
        return latency_buckets;
    const double wanted = total * std::max(slow_fraction, newTotal / total / 2);
    double marked = 0;
    for (std::size_t i = latency_buckets; i-- > 0;) {
        marked += older.latency[i] + newer.latency[i];
        if (marked > wanted)
            return i + 1;
    }
    return 0;
}

double slowCount(const version_counts &counts, std::size_t from)
{
    return std::accumulate(counts.latency.begin() + static_cast<std::ptrdiff_t>(from),
                           counts.latency.end(), 0.0);
}

// What one target of the new version contributed to a test.
struct target_part
{
    double requests = 0;
    double errors = 0;
    double slow = 0;
};

// The tests of one route, or of all routes together, and the sums that are shown to people.
struct route_tests
{
    sequential_detector errors;
    sequential_detector latency;
    marked_counts errorSums;
    marked_counts slowSums;
    std::map<std::string, target_part> targets; // of the new version
};

void addTo(marked_counts &sums, const marked_counts &more)
{
    sums.oldTotal += more.oldTotal;
    sums.newTotal += more.newTotal;
    sums.oldMarked += more.oldMarked;
    sums.newMarked += more.newMarked;
}

// One route of one node in one window.
struct stratum
{
    version_counts older;
    version_counts newer;
    std::vector<std::pair<const std::string *, const version_counts *>> newTargets;
};

// The test that speaks loudest against the new version.
struct loudest_test
{
    double logEvidence = 0;
    bool isError = true;
    std::string route; // empty: all routes together
    const route_tests *tests = nullptr;
};

// Goes through the windows of one service in order of time. Requests of the new version at the
// target `excluded` are passed over; empty: none.
class comparison_run
{
public:
    comparison_run(const comparison_request &request, std::string excluded)
        : m_request(request), m_excluded(std::move(excluded))
    {
    }

    void addWindow(std::int64_t index, const std::map<std::string, evidence_window> &nodes)
    {
        error_tally oldTally;
        error_tally newTally;
        for (const auto &[node, window] : nodes)
            addNode(index, window, oldTally, newTally);
        for (auto &[route, tests] : m_tests) {
            tests.errors.closeWindow();
            tests.latency.closeWindow();
        }
        m_all.errors.closeWindow();
        m_all.latency.closeWindow();
    }

    version_comparison result() const
    {
        const loudest_test loudest = findLoudest();
        const double badAt = logEvidenceOfBad();
        version_comparison comparison;
        comparison.requests = m_requests;
        comparison.bad = loudest.logEvidence >= badAt;
        comparison.doubtful = loudest.logEvidence >= badAt * doubt_fraction;
        if (loudest.tests)
            comparison.cause = causeOf(loudest, badAt);
        return comparison;
    }

    // The one target of the new version that may explain what the loudest test says: it has more
    // marks than any other, and others were asked often enough to be judged without it. Empty if
    // there is none.
    std::string suspectTarget() const
    {
        const loudest_test loudest = findLoudest();
        if (!loudest.tests)
            return {};
        double requests = 0;
        double marks = 0;
        for (const auto &[name, part] : loudest.tests->targets) {
            requests += part.requests;
            marks += marksOf(part, loudest);
        }
        std::string suspect;
        double highest = 0;
        for (const auto &[name, part] : loudest.tests->targets) {
            const double excess = marksOf(part, loudest) - marks * part.requests / requests;
            if (!name.empty() && excess > highest && part.requests < requests * dominant_part) {
                highest = excess;
                suspect = name;
            }
        }
        return suspect;
    }

private:
    static double marksOf(const target_part &part, const loudest_test &test)
    {
        return test.isError ? part.errors : part.slow;
    }

    double logEvidenceOfBad() const
    {
        const double planned = std::max<double>(
            static_cast<double>(m_request.planned / evidence_window_length), least_planned_windows);
        const double tests = kinds_of_mark * (most_routes + 1);
        return std::log(planned * tests / m_request.falseAlarms);
    }

    // The rows of a service lie in order of their routes: each route's versions come together.
    void addNode(std::int64_t index, const evidence_window &window, error_tally &oldTally,
                 error_tally &newTally)
    {
        auto row = window.rows.lower_bound({ m_request.service, "", "", "" });
        while (row != window.rows.end() && row->first.service == m_request.service) {
            const std::string &route = row->first.route;
            stratum counted;
            for (; row != window.rows.end() && row->first.service == m_request.service
                 && row->first.route == route;
                 ++row)
                addRow(counted, row->first, row->second);
            if (index > windowOf(m_request.countFrom))
                m_requests += counted.newer.ended();
            if (!counted.newTargets.empty())
                addStratum(index, route, counted, oldTally, newTally);
        }
    }

    void addRow(stratum &counted, const evidence_key &key, const version_counts &counts) const
    {
        if (key.version == m_request.oldVersion)
            counted.older.merge(counts);
        const bool isExcluded = !m_excluded.empty() && key.target == m_excluded;
        if (key.version != m_request.newVersion || isExcluded)
            return;
        counted.newer.merge(counts);
        counted.newTargets.emplace_back(&key.target, &counts);
    }

    void addStratum(std::int64_t index, const std::string &route, const stratum &counted,
                    error_tally &oldTally, error_tally &newTally)
    {
        const marked_counts errors { static_cast<double>(counted.older.ended()),
                                     static_cast<double>(counted.newer.ended()),
                                     oldTally.errorsOf(counted.older),
                                     newTally.errorsOf(counted.newer) };
        const bool warm = index > windowOf(m_request.latencyFrom);
        const std::size_t from = warm ? slowFrom(counted.older, counted.newer) : latency_buckets;
        const marked_counts slow { static_cast<double>(counted.older.timed()),
                                   static_cast<double>(counted.newer.timed()),
                                   slowCount(counted.older, from), slowCount(counted.newer, from) };
        const auto errorEvidence = logLikelihoodRatios(error_ratios, errors);
        const auto slowEvidence = logLikelihoodRatios(latency_ratios, slow);
        for (route_tests *tests : { &m_all, &m_tests[route] }) {
            tests->errors.add(errorEvidence);
            tests->latency.add(slowEvidence);
            addTo(tests->errorSums, errors);
            addTo(tests->slowSums, slow);
            for (const auto &[target, counts] : counted.newTargets)
                addTarget(tests->targets[*target], *counts, from);
        }
    }

    static void addTarget(target_part &part, const version_counts &counts, std::size_t from)
    {
        part.requests += counts.ended();
        part.errors += counts.failed + counts.malformed + counts.timedOut + counts.lost;
        part.slow += slowCount(counts, from);
    }

    loudest_test findLoudest() const
    {
        loudest_test loudest;
        consider("", m_all, loudest);
        for (const auto &[route, tests] : m_tests)
            consider(route, tests, loudest);
        return loudest;
    }

    static void consider(const std::string &route, const route_tests &tests, loudest_test &loudest)
    {
        const double errors = tests.errors.logEvidence();
        const double latency = tests.latency.logEvidence();
        if (std::max(errors, latency) > loudest.logEvidence)
            loudest = { std::max(errors, latency), errors >= latency, route, &tests };
    }

    static rollback_cause causeOf(const loudest_test &test, double badAt)
    {
        const marked_counts &sums = test.isError ? test.tests->errorSums : test.tests->slowSums;
        char text[160];
        std::snprintf(text, sizeof text,
                      "%s: new %.0f of %.0f, old %.0f of %.0f, log evidence %.1f of %.1f",
                      test.isError ? "errors" : "slow requests", sums.newMarked, sums.newTotal,
                      sums.oldMarked, sums.oldTotal, test.logEvidence, badAt);
        return { test.isError ? rollback_reason::errors : rollback_reason::latency, test.route,
                 text };
    }

    const comparison_request &m_request;
    std::string m_excluded;
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
    const auto found = window.rows.lower_bound({ service, route, "", "" });
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
                       boundedName(observation.version), boundedName(observation.target) };
    auto found = window.rows.find(key);
    if (found == window.rows.end()) {
        key.route = routeIn(window, key.service, key.route);
        if (window.rows.size() >= most_evidence_rows / 2)
            key.target.clear();
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
    const auto play = [this, now](comparison_run &run) {
        for (const auto &[index, nodes] : m_windows) {
            if (index < windowOf(now))
                run.addWindow(index, nodes);
        }
    };
    comparison_run all(request, "");
    play(all);
    version_comparison comparison = all.result();
    const std::string suspect = comparison.doubtful ? all.suspectTarget() : std::string();
    if (suspect.empty())
        return comparison;
    comparison_run others(request, suspect);
    play(others);
    const std::uint64_t requests = comparison.requests;
    comparison = others.result();
    comparison.requests = requests;
    return comparison;
}

} // namespace gooseberrymoor
