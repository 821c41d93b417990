#pragma once

#include "gooseberrymoor/rollout/sequential_detector.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace gooseberrymoor {

// What one target of the new version contributed to a comparison. Value type.
struct target_contribution
{
    double requests = 0;
    double errors = 0;
    double slow = 0;
};

// One route in one window of all nodes, as a comparison of two versions sees it. Value type.
struct route_summary
{
    log_likelihood_ratios errorEvidence {};
    log_likelihood_ratios slowEvidence {};
    contingency_table errors;
    contingency_table slow;
    std::uint64_t requests = 0; // of the new version
    std::map<std::string, target_contribution> targets; // of the new version
};

// One window by route.
using window_summary = std::map<std::string, route_summary>;

// Which comparison a summary belongs to, and of which window it is. Value type.
struct summary_key
{
    std::int64_t index = 0;
    std::string service;
    std::string oldVersion;
    std::string newVersion;
    std::string excluded; // target that is passed over
    bool warm = true; // whether latencies are compared

    auto operator<=>(const summary_key &) const = default;
};

} // namespace gooseberrymoor
