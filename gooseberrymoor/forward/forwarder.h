#pragma once

#include "gooseberrymoor/base/latency_histogram.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/recent_latency.h"
#include "gooseberrymoor/forward/forward_result.h"
#include "gooseberrymoor/forward/leaf_call.h"
#include "gooseberrymoor/forward/run_plan.h"
#include "gooseberrymoor/routing/weighted_service_selector.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class event_log;
class leaf_pool;
class load_shedder;
class repeat_budget;
class replica_selector;
class request_run;
struct caller_request;
struct leaf_completion;
struct route;
struct planned_attempt;

// Dependencies of the `forwarder`, shared by all requests of a node. All must outlive it.
struct forwarder_dependencies
{
    leaf_pool &pool;
    replica_selector &selector;
    repeat_budget &budget;
    load_shedder &shedder;
    event_log &log;
    counters &events;
};

// Forwards callers' requests to targets and returns their responses. Each request runs in the task
// of the caller's connection. Not thread-safe.
class forwarder
{
public:
    forwarder(asio::any_io_executor executor, forwarder_dependencies dependencies);

    // Forwards `request` to the targets of `route`. Completes no later than the caller's deadline
    // or the route's timeout.
    asio::awaitable<forward_result> forward(std::shared_ptr<const caller_request> request,
                                            std::shared_ptr<const route> route);

    // The process ends at `end`: sends a request only while its target can be expected to respond
    // before, and refuses requests that then still wait to be sent.
    void setEnd(time_point end);

    // Number of requests in progress.
    std::size_t running() const { return m_active.size(); }

    // Latencies of callers' requests and of targets' responses since the start.
    const latency_histogram &requestLatencies() const { return m_requestTimes; }
    const latency_histogram &targetLatencies() const { return m_targetTimes; }

private:
    struct active_request; // calls and responses of one caller's request

    bool isAdmitted(const caller_request &request, const route &route);
    void updateSendBefore(active_request &active);
    void withdrawUnsent(active_request &active);
    run_plan makePlan(const caller_request &request, const route &route);
    void sendAll(active_request &active, const std::vector<planned_attempt> &attempts);
    void processCompletions(active_request &active);
    void recordAnswer(active_request &active, leaf_completion completion);
    forward_result buildResult(active_request &active, const route &route);
    bool mayPassOnFailure(const active_request &active, const route &route);
    void logOutcome(const active_request &active, const forward_result &result);

    asio::any_io_executor m_executor;
    forwarder_dependencies m_dependencies;
    weighted_service_selector m_split;
    std::map<std::string, recent_latency> m_latencies; // of targets' responses, by route
    latency_histogram m_requestTimes;
    latency_histogram m_targetTimes;
    std::set<active_request *> m_active; // the requests in progress
    time_point m_end = time_point::max(); // of the process
};

} // namespace gooseberrymoor
