#pragma once

#include "gooseberrymoor/query/hedge_policy.h"

namespace gooseberrymoor {

// Hedges each leaf request after the same delay, or never.
class fixed_hedge_policy : public hedge_policy
{
public:
    // Never hedges if `delay` is empty.
    explicit fixed_hedge_policy(std::optional<duration> delay) : m_delay(delay) { }

    std::optional<duration> delay(const std::string &) override { return m_delay; }
    void onEnded(const std::string &, duration) override { }

private:
    std::optional<duration> m_delay;
};

} // namespace gooseberrymoor
