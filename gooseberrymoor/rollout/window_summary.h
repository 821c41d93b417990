#pragma once

#include "gooseberrymoor/rollout/sequential_detector.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace gooseberrymoor {

// The requests, errors and slow requests of one target of the new version. Value type.
struct target_contribution
{
    double requests = 0;
    double errors = 0;
    double slow = 0;
};

// One route in one window, over all nodes, as input to a comparison of two versions. Value type.
struct route_summary
{
    log_likelihood_ratios errorEvidence {};
    log_likelihood_ratios slowEvidence {};
    contingency_table errors;
    contingency_table slow;
    std::uint64_t requests = 0; // of the new version
    std::map<std::string, target_contribution> targets; // of the new version, by name
};

// The summaries of one window by route.
using window_summary = std::map<std::string, route_summary>;

// The comparison and the window that a summary belongs to. Value type.
struct summary_key
{
    std::int64_t index = 0;
    std::string service;
    std::string oldVersion;
    std::string newVersion;
    std::string excluded; // target whose requests are ignored; empty if none
    bool includesLatency = true; // false during the cold start

    auto operator<=>(const summary_key &) const = default;
};

} // namespace gooseberrymoor
