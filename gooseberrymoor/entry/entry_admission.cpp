#include "gooseberrymoor/entry/entry_admission.h"

#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Whether `reason` means that a target or its queue had no capacity.
bool isOverloadError(error_kind reason)
{
    return reason == error_kind::overloaded || reason == error_kind::target_shed
        || reason == error_kind::deadline_passed;
}

std::size_t countShedShards(const query_answer &answer)
{
    const auto shed = std::ranges::count_if(
        answer.uncovered, [](const uncovered_shard &each) { return isOverloadError(each.reason); });
    const auto timedOut
        = std::ranges::count(answer.uncovered, error_kind::timed_out, &uncovered_shard::reason);
    // A few timeouts may come from one unresponsive target; a majority indicates overload.
    const bool mostTimedOut = static_cast<std::size_t>(timedOut) * 2 > answer.shards();
    return static_cast<std::size_t>(mostTimedOut ? shed + timedOut : shed);
}

} // namespace

std::optional<request_error> entry_admission::checkNodeAvailability(std::size_t running) const
{
    if (m_phase == entry_phase::starting)
        return request_error { error_kind::not_ready, verdict::not_run, "no configuration yet" };
    if (m_phase == entry_phase::isolated)
        return request_error { error_kind::not_ready, verdict::not_run,
                               "hears neither the store nor its peers" };
    if (m_phase == entry_phase::closed)
        return request_error { error_kind::draining, verdict::not_run, "the node is leaving" };
    if (running >= m_maxQueries)
        return request_error { error_kind::overloaded, verdict::not_run, "too many queries" };
    return std::nullopt;
}

std::optional<request_error> entry_admission::checkServiceLoad(const query_request &request,
                                                               std::size_t shards, time_point now)
{
    if (m_rates[request.service].admit(shards, request.deadline - now, now))
        return std::nullopt;
    return request_error { error_kind::overloaded, verdict::not_run, "the service is overloaded" };
}

void entry_admission::onAnswered(const std::string &service, const query_answer &answer,
                                 duration latency, time_point now)
{
    m_rates[service].onQueryEnded(
        { answer.shards(), answer.results.size(), countShedShards(answer), latency }, now);
}

} // namespace gooseberrymoor
