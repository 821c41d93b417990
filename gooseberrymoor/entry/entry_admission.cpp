#include "gooseberrymoor/entry/entry_admission.h"

#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Whether `reason` says that a target or its queue was full.
bool isShed(error_kind reason)
{
    return reason == error_kind::overloaded || reason == error_kind::target_shed
        || reason == error_kind::deadline_passed;
}

std::size_t shedShards(const query_answer &answer)
{
    const auto shed = std::ranges::count_if(
        answer.uncovered, [](const uncovered_shard &each) { return isShed(each.reason); });
    const auto late
        = std::ranges::count(answer.uncovered, error_kind::timed_out, &uncovered_shard::reason);
    // Some late shards may be one silent target; when most are late, all wait too long.
    const bool mostAreLate = static_cast<std::size_t>(late) * 2 > answer.shards();
    return static_cast<std::size_t>(mostAreLate ? shed + late : shed);
}

} // namespace

std::optional<request_error> entry_admission::refusal(std::size_t running) const
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
                                 duration took, time_point now)
{
    m_rates[service].onEnded({ answer.shards(), answer.results.size(), shedShards(answer), took },
                             now);
}

} // namespace gooseberrymoor
