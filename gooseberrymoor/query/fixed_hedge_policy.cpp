#include "gooseberrymoor/query/fixed_hedge_policy.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int percent_per_request = 100;
constexpr int most_saved_requests = 20; // so that a quiet hour does not pay for a storm

} // namespace

fixed_hedge_policy::fixed_hedge_policy(duration delay, int extraPercent)
    : m_delay(delay), m_extraPercent(extraPercent),
      m_budgetPercent(extraPercent > 0 ? most_saved_requests * percent_per_request : 0)
{
}

std::optional<duration> fixed_hedge_policy::delay(const std::string &)
{
    if (m_extraPercent == 0)
        return std::nullopt;
    return m_delay;
}

bool fixed_hedge_policy::takeExtra()
{
    if (m_budgetPercent < percent_per_request)
        return false;
    m_budgetPercent -= percent_per_request;
    return true;
}

void fixed_hedge_policy::onFirstSent()
{
    m_budgetPercent
        = std::min(m_budgetPercent + m_extraPercent, most_saved_requests * percent_per_request);
}

void fixed_hedge_policy::onAnswered(const std::string &, duration) { }

} // namespace gooseberrymoor
