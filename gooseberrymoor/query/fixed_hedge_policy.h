#pragma once

#include "gooseberrymoor/query/hedge_policy.h"

namespace gooseberrymoor {

// Hedges after a fixed delay, for a stated share of the first requests.
class fixed_hedge_policy : public hedge_policy
{
public:
    // `extraPercent` of the first requests may be sent again; 0 never hedges or retries.
    fixed_hedge_policy(duration delay, int extraPercent);

    std::optional<duration> delay(const std::string &service) override;
    bool takeExtra() override;
    void onFirstSent() override;
    void onAnswered(const std::string &service, duration latency) override;

private:
    duration m_delay;
    int m_extraPercent;
    int m_budgetPercent; // in hundredths of a request
};

} // namespace gooseberrymoor
