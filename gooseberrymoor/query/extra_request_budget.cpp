#include "gooseberrymoor/query/extra_request_budget.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int most_saved_requests = 40; // so that a quiet hour does not pay for a storm
constexpr int kept_for_retries = 8; // requests
constexpr int most_borrowed_requests = 320;

} // namespace

extra_request_budget::extra_request_budget(int extraPercent)
    : m_extraPercent(extraPercent),
      m_cents(extraPercent > 0 ? most_saved_requests * cents_per_request : 0)
{
}

void extra_request_budget::onFirstSent()
{
    m_cents = std::min(m_cents + m_extraPercent, most_saved_requests * cents_per_request);
}

bool extra_request_budget::takeRetry()
{
    if (m_cents < cents_per_request)
        return false;
    m_cents -= cents_per_request;
    return true;
}

bool extra_request_budget::takeHedge(int open)
{
    if (m_cents < (kept_for_retries + open) * cents_per_request)
        return false;
    m_cents -= cents_per_request;
    return true;
}

bool extra_request_budget::borrow(int requests)
{
    if (m_extraPercent == 0 && requests > 0)
        return false;
    const int left = m_cents - requests * cents_per_request;
    if (left < -most_borrowed_requests * cents_per_request)
        return false;
    m_cents = left;
    return true;
}

} // namespace gooseberrymoor
