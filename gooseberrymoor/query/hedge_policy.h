#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// Decides when a leaf request without an answer is asked of a second target. Whether it is then
// asked is up to the `extra_request_budget`. Not thread-safe.
class hedge_policy
{
public:
    virtual ~hedge_policy() = default;

    // How long to wait for a first answer of `service` before hedging; nothing for never.
    virtual std::optional<duration> delay(const std::string &service) = 0;

    // A leaf request of `service` was answered after `latency`, or given up after it.
    virtual void onEnded(const std::string &service, duration latency) = 0;
};

} // namespace gooseberrymoor
