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

constexpr std::int64_t retained_windows = 120;
constexpr std::int64_t max_windows_ahead = 12; // clocks of VMs differ a little
constexpr std::int64_t min_planned_windows = 120;
constexpr double tested_outcome_count = 2; // errors and latency
constexpr double slow_request_fraction
    = 0.1; // of all requests, while the new version has few of them
// A version in doubt has this part of the logarithm of the evidence that makes it bad.
constexpr double doubtful_evidence_fraction = 2.0 / 3;
// A VM that dies loses all it was running at once; that counts as so many errors a window.
constexpr std::uint32_t max_lost_connections_per_window = 2;
// A target with this part of a version's requests cannot be told from the version.
constexpr double dominant_request_fraction = 2.0 / 3;

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
class capped_error_counter
{
public:
    double errorsOf(const version_counts &counts)
    {
        const std::uint32_t lost = std::min(counts.lost, m_lostLeft);
        m_lostLeft -= lost;
        return counts.failed + counts.malformed + counts.timedOut + lost;
    }

private:
    std::uint32_t m_lostLeft = max_lost_connections_per_window;
};

// The first bucket of the slow requests. What is slow follows from both versions together, so that
// it says nothing about either: the slowest tenth, or more where the new version has most requests.
std::size_t firstSlowBucket(const version_counts &older, const version_counts &newer)
{
    const double oldTotal = older.timed();
    const double newTotal = newer.timed();
    const double total = oldTotal + newTotal;
    if (oldTotal <= 0 || newTotal <= 0)
        return latency_buckets;
    const double wanted = total * std::max(slow_request_fraction, newTotal / total / 2);
    double marked = 0;
    for (std::size_t i = latency_buckets; i-- > 0;) {
        marked += older.latency[i] + newer.latency[i];
        if (marked > wanted)
            return i + 1;
    }
    return 0;
}

double countSlow(const version_counts &counts, std::size_t from)
{
    return std::accumulate(counts.latency.begin() + static_cast<std::ptrdiff_t>(from),
                           counts.latency.end(), 0.0);
}

// The tests of one route, or of all routes together, and the sums that are shown to people.
struct route_detectors
{
    sequential_detector errors;
    sequential_detector latency;
    contingency_table errorSums;
    contingency_table slowSums;
};

void addTo(contingency_table &sums, const contingency_table &more)
{
    sums.oldTotal += more.oldTotal;
    sums.newTotal += more.newTotal;
    sums.oldPositives += more.oldPositives;
    sums.newPositives += more.newPositives;
}

void addTo(log_likelihood_ratios &sums, const log_likelihood_ratios &more)
{
    for (std::size_t i = 0; i < odds_ratio_count; ++i)
        sums[i] += more[i];
}

// One route of one node in one window.
struct stratum
{
    version_counts older;
    version_counts newer;
    std::vector<std::pair<const std::string *, const version_counts *>> newTargets;
};

// Makes the summary of one window. Requests of the new version at the excluded target are passed
// over.
class window_summarizer
{
public:
    explicit window_summarizer(const summary_key &key) : m_key(key) { }

    // The rows of a service lie in order of their routes: each route's versions come together.
    void addNode(const evidence_window &window)
    {
        auto row = window.rows.lower_bound({ m_key.service, "", "", "" });
        while (row != window.rows.end() && row->first.service == m_key.service) {
            const std::string &route = row->first.route;
            stratum counted;
            for (; row != window.rows.end() && row->first.service == m_key.service
                 && row->first.route == route;
                 ++row)
                addRow(counted, row->first, row->second);
            if (!counted.newTargets.empty())
                addStratum(m_summary[route], counted);
        }
    }

    window_summary take() { return std::move(m_summary); }

private:
    void addRow(stratum &counted, const evidence_key &key, const version_counts &counts) const
    {
        if (key.version == m_key.oldVersion)
            counted.older.merge(counts);
        const bool isExcluded = !m_key.excluded.empty() && key.target == m_key.excluded;
        if (key.version != m_key.newVersion || isExcluded)
            return;
        counted.newer.merge(counts);
        counted.newTargets.emplace_back(&key.target, &counts);
    }

    void addStratum(route_summary &summary, const stratum &counted)
    {
        const contingency_table errors { static_cast<double>(counted.older.ended()),
                                         static_cast<double>(counted.newer.ended()),
                                         m_oldTally.errorsOf(counted.older),
                                         m_newTally.errorsOf(counted.newer) };
        const std::size_t from
            = m_key.warm ? firstSlowBucket(counted.older, counted.newer) : latency_buckets;
        const contingency_table slow { static_cast<double>(counted.older.timed()),
                                       static_cast<double>(counted.newer.timed()),
                                       countSlow(counted.older, from),
                                       countSlow(counted.newer, from) };
        addTo(summary.errorEvidence, logLikelihoodRatios(error_ratios, errors));
        addTo(summary.slowEvidence, logLikelihoodRatios(latency_ratios, slow));
        addTo(summary.errors, errors);
        addTo(summary.slow, slow);
        summary.requests += counted.newer.ended();
        for (const auto &[target, counts] : counted.newTargets)
            addTarget(summary.targets[*target], *counts, from);
    }

    static void addTarget(target_contribution &part, const version_counts &counts, std::size_t from)
    {
        part.requests += counts.ended();
        part.errors += counts.failed + counts.malformed + counts.timedOut + counts.lost;
        part.slow += countSlow(counts, from);
    }

    const summary_key &m_key;
    capped_error_counter m_oldTally;
    capped_error_counter m_newTally;
    window_summary m_summary;
};

// The test that speaks loudest against the new version.
struct strongest_detector
{
    double logEvidence = 0;
    bool isError = true;
    std::string route; // empty: all routes together
    const route_detectors *tests = nullptr;
};

// Goes through the windows of one service in order of time.
class comparison_run
{
public:
    explicit comparison_run(const comparison_request &request) : m_request(request) { }

    // `summary` must outlive the run.
    void addWindow(std::int64_t index, const window_summary &summary)
    {
        m_summaries.push_back(&summary);
        for (const auto &[route, counted] : summary) {
            if (index > windowOf(m_request.countFrom))
                m_requests += counted.requests;
            for (route_detectors *tests : { &m_all, &m_tests[route] }) {
                tests->errors.add(counted.errorEvidence);
                tests->latency.add(counted.slowEvidence);
                addTo(tests->errorSums, counted.errors);
                addTo(tests->slowSums, counted.slow);
            }
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
        const strongest_detector loudest = findStrongestDetector();
        const double badAt = logEvidenceThreshold();
        version_comparison comparison;
        comparison.requests = m_requests;
        comparison.bad = loudest.logEvidence >= badAt;
        comparison.doubtful = loudest.logEvidence >= badAt * doubtful_evidence_fraction;
        if (loudest.tests)
            comparison.cause = causeOf(loudest, badAt);
        return comparison;
    }

    // The one target of the new version that may explain what the loudest test says: it has more
    // marks than any other, and others were asked often enough to be judged without it. Empty if
    // there is none.
    std::string findOutlierTarget() const
    {
        const strongest_detector loudest = findStrongestDetector();
        const std::map<std::string, target_contribution> targets = targetsOf(loudest);
        double requests = 0;
        double marks = 0;
        for (const auto &[name, part] : targets) {
            requests += part.requests;
            marks += positivesOf(part, loudest);
        }
        std::string suspect;
        double highest = 0;
        for (const auto &[name, part] : targets) {
            const double excess = positivesOf(part, loudest) - marks * part.requests / requests;
            if (!name.empty() && excess > highest
                && part.requests < requests * dominant_request_fraction) {
                highest = excess;
                suspect = name;
            }
        }
        return suspect;
    }

private:
    static double positivesOf(const target_contribution &part, const strongest_detector &test)
    {
        return test.isError ? part.errors : part.slow;
    }

    // What each target of the new version contributed to the routes of a test.
    std::map<std::string, target_contribution> targetsOf(const strongest_detector &test) const
    {
        std::map<std::string, target_contribution> targets;
        for (const window_summary *summary : m_summaries) {
            for (const auto &[route, counted] : *summary) {
                if (!test.route.empty() && route != test.route)
                    continue;
                for (const auto &[name, part] : counted.targets) {
                    targets[name].requests += part.requests;
                    targets[name].errors += part.errors;
                    targets[name].slow += part.slow;
                }
            }
        }
        return targets;
    }

    double logEvidenceThreshold() const
    {
        const double planned = std::max<double>(
            static_cast<double>(m_request.planned / evidence_window_length), min_planned_windows);
        const double tests = tested_outcome_count * (max_routes + 1);
        return std::log(planned * tests / m_request.falseAlarmProbability);
    }

    strongest_detector findStrongestDetector() const
    {
        strongest_detector loudest;
        consider("", m_all, loudest);
        for (const auto &[route, tests] : m_tests)
            consider(route, tests, loudest);
        return loudest;
    }

    static void consider(const std::string &route, const route_detectors &tests,
                         strongest_detector &loudest)
    {
        const double errors = tests.errors.logEvidence();
        const double latency = tests.latency.logEvidence();
        if (std::max(errors, latency) > loudest.logEvidence)
            loudest = { std::max(errors, latency), errors >= latency, route, &tests };
    }

    static rollback_cause causeOf(const strongest_detector &test, double badAt)
    {
        const contingency_table &sums = test.isError ? test.tests->errorSums : test.tests->slowSums;
        char text[160];
        std::snprintf(text, sizeof text,
                      "%s: new %.0f of %.0f, old %.0f of %.0f, log evidence %.1f of %.1f",
                      test.isError ? "errors" : "slow requests", sums.newPositives, sums.newTotal,
                      sums.oldPositives, sums.oldTotal, test.logEvidence, badAt);
        return { test.isError ? rollback_reason::errors : rollback_reason::latency, test.route,
                 text };
    }

    const comparison_request &m_request;
    std::vector<const window_summary *> m_summaries;
    route_detectors m_all;
    std::map<std::string, route_detectors> m_tests;
    std::uint64_t m_requests = 0;
};

std::string truncatedName(const std::string &name)
{
    return name.substr(0, max_name_bytes);
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
    if (hasRoute(window, service, other_routes_name))
        return other_routes_name;
    return routesOf(window, service).size() + 1 < max_routes ? route : other_routes_name;
}

} // namespace

void version_evidence::record(const std::string &node, const leaf_observation &observation,
                              wall_time now)
{
    pooled_window &pooled = m_windows[windowOf(now)];
    ++pooled.changes;
    evidence_window &window = pooled.nodes[node];
    window.index = windowOf(now);
    evidence_key key { truncatedName(observation.service), truncatedName(observation.route),
                       truncatedName(observation.version), truncatedName(observation.target) };
    auto found = window.rows.find(key);
    if (found == window.rows.end()) {
        key.route = routeIn(window, key.service, key.route);
        if (window.rows.size() >= max_evidence_rows / 2)
            key.target.clear();
        if (window.rows.size() >= max_evidence_rows)
            return;
        found = window.rows.try_emplace(std::move(key)).first;
    }
    found->second.add(observation.error, observation.latency);
}

void version_evidence::put(const std::string &node, evidence_window window, wall_time now)
{
    const std::int64_t present = windowOf(now);
    if (window.index > present + max_windows_ahead || window.index <= present - retained_windows)
        return;
    pooled_window &pooled = m_windows[window.index];
    ++pooled.changes;
    pooled.nodes[node] = std::move(window);
}

void version_evidence::expire(wall_time now)
{
    const std::int64_t last = windowOf(now) - retained_windows;
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(last));
    std::erase_if(m_summaries, [last](const auto &each) { return each.first.index <= last; });
}

std::vector<evidence_window> version_evidence::closedWindows(const std::string &node,
                                                             std::int64_t firstIndex,
                                                             wall_time now) const
{
    std::vector<evidence_window> closed;
    for (auto each = m_windows.lower_bound(firstIndex);
         each != m_windows.end() && each->first < windowOf(now); ++each) {
        const auto found = each->second.nodes.find(node);
        if (found != each->second.nodes.end())
            closed.push_back(found->second);
    }
    return closed;
}

version_comparison version_evidence::compare(const comparison_request &request, wall_time now) const
{
    const auto play = [&](const std::string &excluded) {
        comparison_run run(request);
        for (const auto &[index, window] : m_windows) {
            if (index < windowOf(now))
                run.addWindow(index, summaryOf(request, excluded, index, window));
        }
        return run;
    };
    const comparison_run all = play("");
    const version_comparison comparison = all.result();
    const std::string suspect = comparison.doubtful ? all.findOutlierTarget() : std::string();
    if (suspect.empty())
        return comparison;
    version_comparison others = play(suspect).result();
    others.requests = comparison.requests;
    return others;
}

const window_summary &version_evidence::summaryOf(const comparison_request &request,
                                                  const std::string &excluded, std::int64_t index,
                                                  const pooled_window &window) const
{
    const summary_key key { index,
                            request.service,
                            request.oldVersion,
                            request.newVersion,
                            excluded,
                            index > windowOf(request.latencyFrom) };
    cached_summary &kept = m_summaries[key];
    if (kept.changes == window.changes)
        return kept.summary;
    window_summarizer reader(key);
    for (const auto &[node, counted] : window.nodes)
        reader.addNode(counted);
    kept = { window.changes, reader.take() };
    return kept.summary;
}

} // namespace gooseberrymoor
