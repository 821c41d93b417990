#pragma once

#include "gooseberrymoor/base/latency_histogram.h"
#include "gooseberrymoor/entry/caller_codec.h"
#include "gooseberrymoor/entry/entry_admission.h"
#include "gooseberrymoor/http/http_handler.h"

#include <functional>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class query_runner;
class state_source;

// Answers callers and operators over HTTP; docs/CALLERS.md lists the paths. Not thread-safe.
class entry_handler : public http_handler
{
public:
    // Returns the entry addresses: the addresses at which the cell's nodes accept callers'
    // requests.
    using entry_source = std::function<std::vector<endpoint>()>;

    // The referenced objects must outlive the handler.
    entry_handler(query_runner &runner, entry_admission &admission, entry_source listEntries,
                  duration directoryTtl, timeout_limits timeouts, const state_source &state,
                  counters &events);

    asio::awaitable<http_reply> handle(http_request request) override;
    http_reply refuse(error_kind kind, std::string detail) override;

    // Latency of answered queries.
    const latency_histogram &queryLatency() const { return m_queryLatency; }

private:
    asio::awaitable<http_reply> handleService(http_request request, std::string path);
    asio::awaitable<http_reply> handleQuery(std::string service, http_request httpRequest);
    asio::awaitable<http_reply> handleShardRequest(std::string service, http_request httpRequest);
    asio::awaitable<query_answer> run(query_request request,
                                      std::shared_ptr<cancellation> abandoned);
    // Validates `request` and, if it is admitted, counts it towards the rate limit of its service.
    // Returns the error if it is rejected; empty if it is admitted.
    std::optional<request_error> admitRequest(const query_request &request);
    http_reply errorReply(const request_error &error);

    query_runner &m_runner;
    entry_admission &m_admission;
    entry_source m_listEntries;
    duration m_directoryTtl;
    timeout_limits m_timeouts;
    const state_source &m_state;
    counters &m_events;
    latency_histogram m_queryLatency;
};

} // namespace gooseberrymoor
