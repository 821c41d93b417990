#pragma once

#include "gooseberrymoor/base/recent_latency.h"
#include "gooseberrymoor/query/hedge_policy.h"

#include <unordered_map>

namespace gooseberrymoor {

// Hedges what takes longer than a high quantile of the recent leaf latencies of its service, so
// that about a fixed share of the leaf requests is hedged whatever the service's speed. When a
// service slows down as a whole, the delay grows with it.
class quantile_hedge_policy : public hedge_policy
{
public:
    // Leaves the slowest `slowestPercent` to be hedged, 0 to 100; with 0 it never hedges.
    explicit quantile_hedge_policy(int slowestPercent);

    std::optional<duration> delay(const std::string &service) override;
    void onEnded(const std::string &service, duration latency) override;

private:
    struct service_state
    {
        recent_latency latencies;
        duration delay {}; // as last worked out
        int sinceUpdate = 0;
    };

    double m_quantile;
    bool m_hedges;
    std::unordered_map<std::string, service_state> m_services;
};

} // namespace gooseberrymoor
