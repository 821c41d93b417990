#include "gooseberrymoor/entry/entry_handler.h"

#include "gooseberrymoor/base/cancellation.h"
#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/entry/state_source.h"
#include "gooseberrymoor/http/error_reply.h"
#include "gooseberrymoor/query/leaf_candidate_table.h"
#include "gooseberrymoor/query/query_runner.h"

namespace gooseberrymoor {

namespace {

constexpr std::string_view services_path = "/v1/services/";

request_error unknownPathError()
{
    return { error_kind::bad_request, verdict::not_run, "no such path; see docs/CALLERS.md" };
}

} // namespace

entry_handler::entry_handler(query_runner &runner, entry_admission &admission,
                             entry_source listEntries, duration directoryTtl,
                             timeout_limits timeouts, const state_source &state, counters &events)
    : m_runner(runner), m_admission(admission), m_listEntries(std::move(listEntries)),
      m_directoryTtl(directoryTtl), m_timeouts(timeouts), m_state(state), m_events(events)
{
}

asio::awaitable<http_reply> entry_handler::handle(http_request request)
{
    const std::string path = request.path.substr(0, request.path.find('?'));
    if (path == "/v1/entries")
        co_return encodeDirectory(m_listEntries(), m_directoryTtl);
    if (path == "/v1/dump")
        co_return http_reply(200, m_state.dump());
    if (path == "/metrics")
        co_return http_reply(200, m_state.metrics(), "text/plain; version=0.0.4");
    if (path.starts_with(services_path))
        co_return co_await handleService(std::move(request), path.substr(services_path.size()));
    co_return errorReply(unknownPathError());
}

http_reply entry_handler::refuse(error_kind kind, std::string detail)
{
    return errorReply({ kind, verdict::not_run, std::move(detail) });
}

asio::awaitable<http_reply> entry_handler::handleService(http_request request, std::string path)
{
    const std::size_t slash = path.find('/');
    const std::string service = path.substr(0, slash);
    const std::string action = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method != "POST" || (action != "query" && action != "request"))
        co_return errorReply(unknownPathError());
    if (const auto rejection = m_admission.checkNodeAvailability(m_runner.running()))
        co_return errorReply(*rejection);
    if (action == "query")
        co_return co_await handleQuery(service, std::move(request));
    co_return co_await handleShardRequest(service, std::move(request));
}

asio::awaitable<http_reply> entry_handler::handleQuery(std::string service,
                                                       http_request httpRequest)
{
    const time_point startedAt = millis_clock::now();
    auto request = decodeQuery(service, httpRequest.body, m_timeouts, startedAt);
    if (!request)
        co_return errorReply(request.error());
    if (const auto rejection = admitRequest(*request))
        co_return errorReply(*rejection);
    const query_answer answer = co_await run(std::move(*request), std::move(httpRequest.abandoned));
    m_queryLatency.record(millis_clock::now() - startedAt);
    m_events.add("queries");
    m_events.add("shards_asked", answer.shards());
    m_events.add("shards_covered", answer.results.size());
    co_return encodeAnswer(answer);
}

asio::awaitable<http_reply> entry_handler::handleShardRequest(std::string service,
                                                              http_request httpRequest)
{
    auto request = decodeShardRequest(service, httpRequest.body, m_timeouts, millis_clock::now());
    if (!request)
        co_return errorReply(request.error());
    if (const auto rejection = admitRequest(*request))
        co_return errorReply(*rejection);
    const query_answer answer = co_await run(std::move(*request), std::move(httpRequest.abandoned));
    m_events.add("shard_requests");
    co_return encodeShardAnswer(answer);
}

asio::awaitable<query_answer> entry_handler::run(query_request request,
                                                 std::shared_ptr<cancellation> abandoned)
{
    const std::string service = request.service;
    const time_point startedAt = millis_clock::now();
    query_answer answer = co_await m_runner.run(std::move(request), abandoned);
    const time_point endedAt = millis_clock::now();
    m_events.add("extra_leaf_requests", static_cast<std::uint64_t>(answer.extraRequests));
    m_events.add("queries_asked_again", answer.usedFallbackSnapshot ? 1 : 0);
    if (abandoned && abandoned->isCancelled())
        m_events.add("queries_abandoned");
    else
        m_admission.onAnswered(service, answer, endedAt - startedAt, endedAt);
    co_return answer;
}

std::optional<request_error> entry_handler::admitRequest(const query_request &request)
{
    const auto routes = m_runner.routes();
    const service_config *service = routes ? routes->findService(request.service) : nullptr;
    if (!service || service->snapshots.empty())
        return request_error { error_kind::unknown_service, verdict::not_run, request.service };
    const snapshot_config &snapshot = service->snapshots.back();
    for (const std::string &shard : request.shards) {
        if (!snapshot.groupOfShard.contains(shard))
            return request_error { error_kind::unknown_shard, verdict::not_run, shard };
    }
    const std::size_t shards
        = request.shards.empty() ? snapshot.groupOfShard.size() : request.shards.size();
    return m_admission.checkServiceLoad(request, shards, millis_clock::now());
}

http_reply entry_handler::errorReply(const request_error &error)
{
    m_events.add("refused_" + std::string(nameOf(error.kind)));
    return toReply(error);
}

} // namespace gooseberrymoor
