#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// Decides after what delay an unanswered leaf request is also sent to a second target, if the
// `extra_request_budget` allows it then. Not thread-safe.
class hedge_policy
{
public:
    virtual ~hedge_policy() = default;

    // Returns how long to wait for an answer of `service` before hedging; empty to never hedge.
    virtual std::optional<duration> delay(const std::string &service) = 0;

    // Records that a leaf request of `service` was answered, or abandoned, after `latency`.
    virtual void onEnded(const std::string &service, duration latency) = 0;
};

} // namespace gooseberrymoor
