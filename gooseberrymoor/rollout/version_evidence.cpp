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
constexpr std::int64_t max_windows_ahead = 12; // tolerates clock skew between VMs
constexpr std::int64_t min_planned_windows = 120;
constexpr double tests_per_route = 2; // errors and latency
// Fraction of the slowest requests that are compared, while the new version has few requests.
constexpr double slow_request_fraction = 0.1;
// A version is doubtful at this fraction of `logEvidenceThreshold`.
constexpr double doubtful_evidence_fraction = 2.0 / 3;
// Upper limit of the lost requests that count as errors: a VM that fails loses all its running
// requests at once.
constexpr std::uint32_t max_lost_requests_per_window = 2;
// The errors of a target with at least this fraction of a version's requests are attributed to the
// version.
constexpr double dominant_request_fraction = 2.0 / 3;

constexpr odds_ratios error_ratios { 2, 5, 20, 100 };
constexpr odds_ratios latency_ratios { 1.5, 2.5, 5, 10 };

std::set<std::string> routesOf(const evidence_window &window, const std::string &service)
{
    std::set<std::string> routes;
    for (auto entry = window.rows.lower_bound({ service, "", "", "" });
         entry != window.rows.end() && entry->first.service == service; ++entry)
        routes.insert(entry->first.route);
    return routes;
}

// Counts the errors of one version in one window. All strata share one limit on lost requests.
class capped_error_counter
{
public:
    double errorsOf(const version_counts &counts)
    {
        const std::uint32_t lost = std::min(counts.lost, m_remainingLost);
        m_remainingLost -= lost;
        return counts.failed + counts.malformed + counts.timedOut + lost;
    }

private:
    std::uint32_t m_remainingLost = max_lost_requests_per_window;
};

// The first bucket that counts as slow. Computed from the latencies of both versions together, so
// that it is not biased towards either. At most `slow_request_fraction` of all requests are slow,
// or half the new version's fraction if that is larger. No bucket is slow if one version has no
// requests.
std::size_t firstSlowBucket(const version_counts &oldCounts, const version_counts &newCounts)
{
    const double oldTotal = oldCounts.latencySamples();
    const double newTotal = newCounts.latencySamples();
    const double total = oldTotal + newTotal;
    if (oldTotal <= 0 || newTotal <= 0)
        return latency_buckets;
    const double maxSlow = total * std::max(slow_request_fraction, newTotal / total / 2);
    double slow = 0;
    for (std::size_t i = latency_buckets; i-- > 0;) {
        slow += oldCounts.latency[i] + newCounts.latency[i];
        if (slow > maxSlow)
            return i + 1;
    }
    return 0;
}

double countSlow(const version_counts &counts, std::size_t firstSlow)
{
    return std::accumulate(counts.latency.begin() + static_cast<std::ptrdiff_t>(firstSlow),
                           counts.latency.end(), 0.0);
}

// The detectors of one route, or of all routes together, and the totals reported in a rollback
// cause.
struct route_detectors
{
    sequential_detector errors;
    sequential_detector latency;
    contingency_table errorTotals;
    contingency_table slowTotals;
};

void addTo(contingency_table &totals, const contingency_table &other)
{
    totals.oldTotal += other.oldTotal;
    totals.newTotal += other.newTotal;
    totals.oldPositives += other.oldPositives;
    totals.newPositives += other.newPositives;
}

void addTo(log_likelihood_ratios &totals, const log_likelihood_ratios &other)
{
    for (std::size_t i = 0; i < odds_ratio_count; ++i)
        totals[i] += other[i];
}

// Counts of two versions on one route of one node in one window.
struct stratum
{
    version_counts oldCounts;
    version_counts newCounts;
    std::vector<std::pair<const std::string *, const version_counts *>> newTargets;
};

// Computes the summary of one window. Ignores requests of the new version at the excluded target.
class window_summarizer
{
public:
    explicit window_summarizer(const summary_key &key) : m_key(key) { }

    // The rows of a service are sorted by route, so all rows of a stratum are adjacent.
    void addNode(const evidence_window &window)
    {
        auto row = window.rows.lower_bound({ m_key.service, "", "", "" });
        while (row != window.rows.end() && row->first.service == m_key.service) {
            const std::string &route = row->first.route;
            stratum routeCounts;
            for (; row != window.rows.end() && row->first.service == m_key.service
                 && row->first.route == route;
                 ++row)
                addRow(routeCounts, row->first, row->second);
            if (!routeCounts.newTargets.empty())
                addStratum(m_summary[route], routeCounts);
        }
    }

    window_summary take() { return std::move(m_summary); }

private:
    void addRow(stratum &routeCounts, const evidence_key &key, const version_counts &counts) const
    {
        if (key.version == m_key.oldVersion)
            routeCounts.oldCounts.merge(counts);
        const bool isExcluded = !m_key.excluded.empty() && key.target == m_key.excluded;
        if (key.version != m_key.newVersion || isExcluded)
            return;
        routeCounts.newCounts.merge(counts);
        routeCounts.newTargets.emplace_back(&key.target, &counts);
    }

    void addStratum(route_summary &summary, const stratum &routeCounts)
    {
        const contingency_table errors { static_cast<double>(routeCounts.oldCounts.ended()),
                                         static_cast<double>(routeCounts.newCounts.ended()),
                                         m_oldErrors.errorsOf(routeCounts.oldCounts),
                                         m_newErrors.errorsOf(routeCounts.newCounts) };
        const std::size_t firstSlow = m_key.includesLatency
            ? firstSlowBucket(routeCounts.oldCounts, routeCounts.newCounts)
            : latency_buckets;
        const contingency_table slow { static_cast<double>(routeCounts.oldCounts.latencySamples()),
                                       static_cast<double>(routeCounts.newCounts.latencySamples()),
                                       countSlow(routeCounts.oldCounts, firstSlow),
                                       countSlow(routeCounts.newCounts, firstSlow) };
        addTo(summary.errorEvidence, logLikelihoodRatios(error_ratios, errors));
        addTo(summary.slowEvidence, logLikelihoodRatios(latency_ratios, slow));
        addTo(summary.errors, errors);
        addTo(summary.slow, slow);
        summary.requests += routeCounts.newCounts.ended();
        for (const auto &[target, counts] : routeCounts.newTargets)
            addTarget(summary.targets[*target], *counts, firstSlow);
    }

    static void addTarget(target_contribution &contribution, const version_counts &counts,
                          std::size_t firstSlow)
    {
        contribution.requests += counts.ended();
        contribution.errors += counts.failed + counts.malformed + counts.timedOut + counts.lost;
        contribution.slow += countSlow(counts, firstSlow);
    }

    const summary_key &m_key;
    capped_error_counter m_oldErrors;
    capped_error_counter m_newErrors;
    window_summary m_summary;
};

// The detector with the strongest evidence against the new version.
struct strongest_detector
{
    double logEvidence = 0;
    bool isError = true;
    std::string route; // empty: all routes together
    const route_detectors *detectors = nullptr;
};

// Compares two versions of one service from window summaries, added in order of time.
class comparison_builder
{
public:
    explicit comparison_builder(const comparison_request &request) : m_request(request) { }

    // `summary` must outlive the builder.
    void addWindow(std::int64_t index, const window_summary &summary)
    {
        m_summaries.push_back(&summary);
        for (const auto &[route, routeSummary] : summary) {
            if (index > windowOf(m_request.countFrom))
                m_requests += routeSummary.requests;
            for (route_detectors *detectors : { &m_allRoutes, &m_routes[route] }) {
                detectors->errors.add(routeSummary.errorEvidence);
                detectors->latency.add(routeSummary.slowEvidence);
                addTo(detectors->errorTotals, routeSummary.errors);
                addTo(detectors->slowTotals, routeSummary.slow);
            }
        }
        for (auto &[route, detectors] : m_routes) {
            detectors.errors.closeWindow();
            detectors.latency.closeWindow();
        }
        m_allRoutes.errors.closeWindow();
        m_allRoutes.latency.closeWindow();
    }

    version_comparison result() const
    {
        const strongest_detector strongest = findStrongestDetector();
        const double threshold = logEvidenceThreshold();
        version_comparison comparison;
        comparison.requests = m_requests;
        comparison.bad = strongest.logEvidence >= threshold;
        comparison.doubtful = strongest.logEvidence >= threshold * doubtful_evidence_fraction;
        if (strongest.detectors)
            comparison.cause = causeOf(strongest, threshold);
        return comparison;
    }

    // The target of the new version that may explain the strongest evidence alone: the one with the
    // largest excess of positives over its fraction of the requests, unless it has so many of the
    // requests that the others cannot be judged without it. Empty if there is none.
    std::string findOutlierTarget() const
    {
        const strongest_detector strongest = findStrongestDetector();
        const std::map<std::string, target_contribution> targets = targetsOf(strongest);
        double requests = 0;
        double positives = 0;
        for (const auto &[name, contribution] : targets) {
            requests += contribution.requests;
            positives += positivesOf(contribution, strongest);
        }
        std::string outlier;
        double highestExcess = 0;
        for (const auto &[name, contribution] : targets) {
            const double excess = positivesOf(contribution, strongest)
                - positives * contribution.requests / requests;
            if (!name.empty() && excess > highestExcess
                && contribution.requests < requests * dominant_request_fraction) {
                highestExcess = excess;
                outlier = name;
            }
        }
        return outlier;
    }

private:
    static double positivesOf(const target_contribution &contribution,
                              const strongest_detector &detector)
    {
        return detector.isError ? contribution.errors : contribution.slow;
    }

    // The totals of each target of the new version over the routes of `detector`.
    std::map<std::string, target_contribution> targetsOf(const strongest_detector &detector) const
    {
        std::map<std::string, target_contribution> targets;
        for (const window_summary *summary : m_summaries) {
            for (const auto &[route, routeSummary] : *summary) {
                if (!detector.route.empty() && route != detector.route)
                    continue;
                for (const auto &[name, contribution] : routeSummary.targets) {
                    targets[name].requests += contribution.requests;
                    targets[name].errors += contribution.errors;
                    targets[name].slow += contribution.slow;
                }
            }
        }
        return targets;
    }

    double logEvidenceThreshold() const
    {
        const double windows = std::max<double>(
            static_cast<double>(m_request.plannedDuration / evidence_window_length),
            min_planned_windows);
        const double tests = tests_per_route * (max_routes + 1);
        return std::log(windows * tests / m_request.falseAlarmProbability);
    }

    strongest_detector findStrongestDetector() const
    {
        strongest_detector strongest;
        updateStrongest("", m_allRoutes, strongest);
        for (const auto &[route, detectors] : m_routes)
            updateStrongest(route, detectors, strongest);
        return strongest;
    }

    static void updateStrongest(const std::string &route, const route_detectors &detectors,
                                strongest_detector &strongest)
    {
        const double errors = detectors.errors.logEvidence();
        const double latency = detectors.latency.logEvidence();
        if (std::max(errors, latency) > strongest.logEvidence)
            strongest = { std::max(errors, latency), errors >= latency, route, &detectors };
    }

    static rollback_cause causeOf(const strongest_detector &strongest, double threshold)
    {
        const contingency_table &totals = strongest.isError ? strongest.detectors->errorTotals
                                                            : strongest.detectors->slowTotals;
        char text[160];
        std::snprintf(
            text, sizeof text, "%s: new %.0f of %.0f, old %.0f of %.0f, log evidence %.1f of %.1f",
            strongest.isError ? "errors" : "slow requests", totals.newPositives, totals.newTotal,
            totals.oldPositives, totals.oldTotal, strongest.logEvidence, threshold);
        return { strongest.isError ? rollback_reason::errors : rollback_reason::latency,
                 strongest.route, text };
    }

    const comparison_request &m_request;
    std::vector<const window_summary *> m_summaries;
    route_detectors m_allRoutes;
    std::map<std::string, route_detectors> m_routes;
    std::uint64_t m_requests = 0;
};

std::string truncatedName(const std::string &name)
{
    return name.substr(0, max_name_bytes);
}

// Whether `window` has a row of `route` for any version.
bool hasRoute(const evidence_window &window, const std::string &service, const std::string &route)
{
    const auto found = window.rows.lower_bound({ service, route, "", "" });
    return found != window.rows.end() && found->first.service == service
        && found->first.route == route;
}

// The route under which to count `route`: itself, or `other_routes_name` if there are too many.
std::string countedRoute(const evidence_window &window, const std::string &service,
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
        key.route = countedRoute(window, key.service, key.route);
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
    std::erase_if(m_summaries, [last](const auto &entry) { return entry.first.index <= last; });
}

std::vector<evidence_window> version_evidence::closedWindows(const std::string &node,
                                                             std::int64_t firstIndex,
                                                             wall_time now) const
{
    std::vector<evidence_window> closed;
    for (auto entry = m_windows.lower_bound(firstIndex);
         entry != m_windows.end() && entry->first < windowOf(now); ++entry) {
        const auto found = entry->second.nodes.find(node);
        if (found != entry->second.nodes.end())
            closed.push_back(found->second);
    }
    return closed;
}

version_comparison version_evidence::compare(const comparison_request &request, wall_time now) const
{
    const auto compareWithout = [&](const std::string &excluded) {
        comparison_builder builder(request);
        for (const auto &[index, window] : m_windows) {
            if (index < windowOf(now))
                builder.addWindow(index, summaryOf(request, excluded, index, window));
        }
        return builder;
    };
    const comparison_builder all = compareWithout("");
    const version_comparison comparison = all.result();
    const std::string outlier = comparison.doubtful ? all.findOutlierTarget() : std::string();
    if (outlier.empty())
        return comparison;
    version_comparison others = compareWithout(outlier).result();
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
    cached_summary &cached = m_summaries[key];
    if (cached.changes == window.changes)
        return cached.summary;
    window_summarizer summarizer(key);
    for (const auto &[node, nodeWindow] : window.nodes)
        summarizer.addNode(nodeWindow);
    cached = { window.changes, summarizer.take() };
    return cached.summary;
}

} // namespace gooseberrymoor
