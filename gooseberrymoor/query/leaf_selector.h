#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/query/leaf_candidate.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct leaf_outcome;

// Chooses the target that a leaf request goes to. Not thread-safe.
class leaf_selector
{
public:
    virtual ~leaf_selector() = default;

    // One of `eligible`, which are indices into `candidates` and not empty.
    virtual std::size_t choose(const std::vector<leaf_candidate> &candidates,
                               std::span<const std::size_t> eligible, time_point now)
        = 0;

    // A request was sent to `target` ("service/name").
    virtual void onSent(const std::string &target) = 0;

    // A request sent to `target` has ended, or its answer is no longer wanted.
    virtual void onEnded(const std::string &target, const leaf_outcome &ending, time_point now) = 0;
};

} // namespace gooseberrymoor
