#pragma once

#include "gooseberrymoor/base/recent_latency.h"
#include "gooseberrymoor/query/hedge_policy.h"

#include <unordered_map>

namespace gooseberrymoor {

// Hedges leaf requests that take longer than a high quantile of the recent leaf latencies of their
// service. About the same share of leaf requests is hedged whether a service is fast or slow, and
// the delay grows when all of its targets slow down.
class quantile_hedge_policy : public hedge_policy
{
public:
    // Hedges the slowest `slowestPercent` (0 to 100) of the leaf requests, 10 at most; 0 disables
    // hedging.
    explicit quantile_hedge_policy(int slowestPercent);

    std::optional<duration> delay(const std::string &service) override;
    void onEnded(const std::string &service, duration latency) override;

private:
    struct service_state
    {
        recent_latency latencies;
        duration delay {}; // as last computed; 0 until then
        int recordsSinceUpdate = 0;
    };

    double m_quantile;
    bool m_enabled;
    std::unordered_map<std::string, service_state> m_services;
};

} // namespace gooseberrymoor
