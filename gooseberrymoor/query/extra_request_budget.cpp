#include "gooseberrymoor/query/extra_request_budget.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int max_saved_requests = 40; // a quiet period must not fund a burst of extra load
constexpr int retry_reserve_requests = 8; // not for hedges: a failed shard depends on its retry
constexpr int max_borrowed_requests = 320;

} // namespace

extra_request_budget::extra_request_budget(int extraPercent)
    : m_extraPercent(extraPercent),
      m_tokens(extraPercent > 0 ? max_saved_requests * tokens_per_request : 0)
{
}

void extra_request_budget::onFirstRequestSent()
{
    m_tokens = std::min(m_tokens + m_extraPercent, max_saved_requests * tokens_per_request);
}

bool extra_request_budget::tryTakeRetry()
{
    if (m_tokens < tokens_per_request)
        return false;
    m_tokens -= tokens_per_request;
    return true;
}

bool extra_request_budget::tryTakeHedge(int openShards)
{
    if (m_tokens < (retry_reserve_requests + openShards) * tokens_per_request)
        return false;
    m_tokens -= tokens_per_request;
    return true;
}

bool extra_request_budget::tryBorrow(int requests)
{
    if (m_extraPercent == 0 && requests > 0)
        return false;
    const int remaining = m_tokens - requests * tokens_per_request;
    if (remaining < -max_borrowed_requests * tokens_per_request)
        return false;
    m_tokens = remaining;
    return true;
}

} // namespace gooseberrymoor
