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

// What the nodes of a cell saw of each version, for the last minutes, and the comparison of two
// versions by it. Decision class: no clock, no sockets. Not thread-safe.
//
// Within each stratum (one window of one node on one route) the share of the requests tells how
// errors would fall on two equal versions. So whatever hits both versions in the same window is no
// evidence against the new one. Each stratum gives a likelihood ratio; their running sum of
// products over all possible beginnings (Shiryaev-Roberts) finds a version that turns bad late,
// and may be looked at after each window: its expectation grows by no more than 1 a window.
//
// What one target of several explains speaks against that target, not against the version: if the
// new version is in doubt, the comparison is made again without the target that stands out most.
class version_evidence
{
public:
    // Counts one leaf request that this node, `node`, has seen end.
    void record(const std::string &node, const leaf_observation &observation, wall_time now);

    // Takes in what `node` counted in a window. The same window again replaces the first, so that
    // repeats change nothing. A window that is too old or from the future is passed over.
    void put(const std::string &node, evidence_window window, wall_time now);

    // Drops windows that are too old.
    void expire(wall_time now);

    // The windows of `node` from `firstIndex` that are closed at `now`.
    std::vector<evidence_window> closedWindows(const std::string &node, std::int64_t firstIndex,
                                               wall_time now) const;

    // Compares two versions by all windows that are closed at `now`.
    version_comparison compare(const comparison_request &request, wall_time now) const;

private:
    // One window of all nodes.
    struct pooled_window
    {
        std::map<std::string, evidence_window> nodes;
        std::uint64_t changes = 0; // how often it was changed
    };
    struct cached_summary
    {
        std::uint64_t changes = 0; // of the window when the summary was made
        window_summary summary;
    };

    const window_summary &summaryOf(const comparison_request &request, const std::string &excluded,
                                    std::int64_t index, const pooled_window &window) const;

    std::map<std::int64_t, pooled_window> m_windows;
    mutable std::map<summary_key, cached_summary> m_summaries; // so that a look reads no rows twice
};

} // namespace gooseberrymoor
