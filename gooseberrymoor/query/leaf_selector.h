#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/query/leaf_candidate.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct leaf_outcome;

// Chooses the target of each leaf request. Not thread-safe.
class leaf_selector
{
public:
    virtual ~leaf_selector() = default;

    // Returns one of `eligible`, a non-empty list of indices into `candidates`.
    virtual std::size_t choose(const std::vector<leaf_candidate> &candidates,
                               std::span<const std::size_t> eligible, time_point now)
        = 0;

    // Records that a request was sent to `target` ("service/target").
    virtual void onSent(const std::string &target) = 0;

    // Records that a request to `target` ended or was cancelled.
    virtual void onEnded(const std::string &target, const leaf_outcome &outcome, time_point now)
        = 0;
};

} // namespace gooseberrymoor
