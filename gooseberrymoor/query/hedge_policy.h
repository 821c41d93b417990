#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// Decides when a leaf request without an answer is asked of a second target, and whether the
// budget for extra requests allows it. Not thread-safe.
class hedge_policy
{
public:
    virtual ~hedge_policy() = default;

    // How long to wait for a first answer of `service` before hedging; nothing for never.
    virtual std::optional<duration> delay(const std::string &service) = 0;

    // Takes one extra request out of the budget; false if none is left.
    virtual bool takeExtra() = 0;

    // A first request was sent: it earns budget.
    virtual void onFirstSent() = 0;

    // A leaf request of `service` was answered after `latency`.
    virtual void onAnswered(const std::string &service, duration latency) = 0;
};

} // namespace gooseberrymoor
