#include "leaf_stand_in.h"

#include "gooseberrymoor/base/timer.h"
#include "gooseberrymoor/http/http_headers.h"
#include "platform/protocol_names.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr int slots = 4;

http_reply notExecuted(unsigned status)
{
    http_reply reply(status, "");
    reply.headers.emplace_back(platform::not_executed_field, "1");
    return reply;
}

} // namespace

leaf_stand_in::leaf_stand_in(std::string id, std::string service, endpoint address,
                             std::string zone, std::string body)
    : m_id(std::move(id)), m_service(std::move(service)), m_address(std::move(address)),
      m_zone(std::move(zone)), m_body(std::move(body))
{
}

asio::awaitable<http_reply> leaf_stand_in::handle(http_request request)
{
    const std::string attempt(headerValue(request.headers, platform::attempt_id_field));
    ++m_arrivals;
    if (headerValue(request.headers, platform::expected_instance_field) != m_id)
        co_return withOwnState(notExecuted(421));
    if (m_faultMode == leaf_fault_mode::full)
        co_return refusal(503);
    ++m_runs;
    ++m_runsById[attempt];
    timer work(co_await asio::this_coro::executor, millis_clock::now() + m_latency);
    m_maxRunning = std::max(m_maxRunning, ++m_running);
    co_await work.async_wait(as_result);
    --m_running;
    if (m_faultMode == leaf_fault_mode::lost_reply)
        throw std::runtime_error("reply lost"); // makes the server close the connection
    http_reply reply(m_faultMode == leaf_fault_mode::failing ? m_failureStatus : 200, m_body);
    reply.headers.emplace_back(platform::attempt_id_field, attempt);
    reply.headers.emplace_back(platform::signature_field, m_id + "." + attempt);
    reply.headers.emplace_back(platform::load_field, "1,0," + std::to_string(slots));
    co_return withOwnState(std::move(reply));
}

// Adds what the target says of itself in every answer.
http_reply leaf_stand_in::withOwnState(http_reply reply) const
{
    if (m_leaving)
        reply.headers.emplace_back(platform::leaving_field, "1");
    return reply;
}

http_reply leaf_stand_in::refusal(unsigned status) const
{
    http_reply reply = notExecuted(status);
    if (!m_retryAfter.empty())
        reply.headers.emplace_back(platform::retry_after_field, m_retryAfter);
    return withOwnState(std::move(reply));
}

void leaf_stand_in::restart()
{
    ++m_incarnation;
    m_sequence = 0;
    m_leaving = false;
}

http_reply leaf_stand_in::refuse(error_kind, std::string)
{
    return notExecuted(503);
}

std::string leaf_stand_in::entry(const std::string &state) const
{
    const boost::json::object body { { "service", m_service },   { "address", toString(m_address) },
                                     { "zone", m_zone },         { "version", "v1" },
                                     { "slots", slots },         { "state", state },
                                     { "cold_remaining_ms", 0 }, { "sequence", m_sequence },
                                     { "born", m_incarnation } };
    return boost::json::serialize(body);
}

std::string leaf_stand_in::nextEntry(const std::string &state)
{
    ++m_sequence;
    return entry(state);
}

int leaf_stand_in::runsOf(const std::string &attemptId) const
{
    const auto found = m_runsById.find(attemptId);
    return found == m_runsById.end() ? 0 : found->second;
}

} // namespace gooseberrymoor
