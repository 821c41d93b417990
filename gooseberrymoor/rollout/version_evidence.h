#pragma once

#include "gooseberrymoor/rollout/comparison_request.h"
#include "gooseberrymoor/rollout/evidence_window.h"
#include "gooseberrymoor/rollout/version_comparison.h"
#include "gooseberrymoor/rollout/window_summary.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct leaf_observation;

// Request outcomes by version from all nodes of a cell over the last `retained_windows`, and the
// comparison of two versions based on them. Performs no I/O and reads no clock. Not thread-safe.
//
// The comparison is stratified by window, node and route. Within a stratum, two equal versions
// share the errors in proportion to their requests, so a disturbance that affects both versions in
// the same window is not evidence against the new one. Each stratum contributes a likelihood ratio.
// The Shiryaev-Roberts statistic sums their products over all possible change points, so it detects
// a version that turns bad late, and it may be tested after each window: its expectation grows by
// at most 1 with each window.
//
// Errors that can be explained by a single target of several are attributed to that target, not to
// the version: if the new version is doubtful, the comparison is repeated without the target that
// deviates most.
class version_evidence
{
public:
    // Counts one leaf request of `node`, which is this node.
    void record(const std::string &node, const leaf_observation &observation, wall_time now);

    // Stores a window that `node` counted. Replaces an earlier copy of the same window, so retries
    // are idempotent. Ignores a window that is too old or too far in the future.
    void put(const std::string &node, evidence_window window, wall_time now);

    // Removes windows that are older than `retained_windows`.
    void expire(wall_time now);

    // The windows of `node` from `firstIndex` on that are closed at `now`.
    std::vector<evidence_window> closedWindows(const std::string &node, std::int64_t firstIndex,
                                               wall_time now) const;

    // Compares two versions over all windows that are closed at `now`.
    version_comparison compare(const comparison_request &request, wall_time now) const;

private:
    // The same window of all nodes.
    struct pooled_window
    {
        std::map<std::string, evidence_window> nodes;
        std::uint64_t changes = 0; // number of modifications, to validate cached summaries
    };
    struct cached_summary
    {
        std::uint64_t changes = 0; // of the window when the summary was computed
        window_summary summary;
    };

    const window_summary &summaryOf(const comparison_request &request, const std::string &excluded,
                                    std::int64_t index, const pooled_window &window) const;

    std::map<std::int64_t, pooled_window> m_windows;
    mutable std::map<summary_key, cached_summary> m_summaries; // cache of `summaryOf`
};

} // namespace gooseberrymoor
