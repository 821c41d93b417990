#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/forward/leaf_call.h"
#include "gooseberrymoor/forward/leaf_call_result.h"
#include "gooseberrymoor/http/reply_limits.h"

#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class event_log;
class http_connection;
class leaf_protocol;
class replica_set;
class replica_subset;
struct caller_request;
struct http_failure;

// Dependencies of the `leaf_pool`. All must outlive the executor's last task.
struct leaf_pool_dependencies
{
    const leaf_protocol &protocol;
    replica_set &replicas; // receives what targets ask for in their replies
    const replica_subset &subset; // limits the number of connections
    event_log &log;
    counters &events;
};

// Pool of connections from one node to the targets, with one task per connection. A request that
// has not been sent when its target asks for no more requests completes as not run. Not
// thread-safe.
class leaf_pool
{
public:
    // `seed` is for the jitter of backoffs.
    leaf_pool(asio::any_io_executor executor, leaf_pool_dependencies dependencies,
              std::uint32_t seed);
    ~leaf_pool();

    // Sends `call` immediately if a connection is idle or may be opened; queues it otherwise.
    void send(std::shared_ptr<leaf_call> call);

    // Cancels `call` if it is still queued. A call that has been sent continues, so that its
    // connection can be reused.
    void cancelQueued(const std::shared_ptr<leaf_call> &call);

    // Completes `call` as not run if it is still queued.
    void withdrawQueued(const std::shared_ptr<leaf_call> &call);

    // Cancels `call`. If it has been sent, closes its connection, so that the target stops
    // processing it.
    void cancel(const std::shared_ptr<leaf_call> &call);

    // Reconciles the connections with the known targets: opens a connection to each target in this
    // node's subset before the first request, closes idle connections to other targets and to
    // targets that are leaving, and completes calls queued for a target that is no longer eligible
    // as not run.
    void reconcile();

    // Closes idle connections; calls in progress continue.
    void closeIdle();

    // Number of open connections.
    std::size_t openConnections() const;

private:
    struct target_connections;
    struct pooled_connection;

    using target_connections_ptr = std::shared_ptr<target_connections>;
    using pooled_connection_ptr = std::shared_ptr<pooled_connection>;

    target_connections_ptr connectionsTo(const std::shared_ptr<known_replica> &target);
    static bool isConnected(const target_connections &target);
    void startConnection(const target_connections_ptr &target,
                         std::shared_ptr<leaf_call> firstCall);
    asio::awaitable<void> runConnection(target_connections_ptr target, pooled_connection_ptr self,
                                        std::shared_ptr<leaf_call> call);
    asio::awaitable<void> serveCalls(target_connections_ptr target, pooled_connection_ptr self,
                                     std::shared_ptr<leaf_call> call);
    void onException(const target_connections &target, pooled_connection &connection,
                     const std::exception &error);
    asio::awaitable<std::shared_ptr<leaf_call>> nextCall(target_connections_ptr target,
                                                         pooled_connection_ptr self);
    asio::awaitable<bool> performCall(target_connections_ptr target, pooled_connection_ptr self,
                                      std::shared_ptr<leaf_call> call);
    asio::awaitable<bool> connect(pooled_connection_ptr self, known_replica &target,
                                  time_point deadline);
    static pooled_connection_ptr findIdle(const target_connections &target,
                                          const caller_request &request);
    static void assign(target_connections &target, const pooled_connection_ptr &idle,
                       std::shared_ptr<leaf_call> call);
    std::shared_ptr<leaf_call> takeQueuedCall(target_connections &target);
    asio::awaitable<bool> ensureConnected(pooled_connection_ptr self, leaf_call &call);
    void closeIdle(target_connections &target, time_point since);
    void closeRemovedTargets();
    void failQueuedCalls(target_connections &target);
    bool removeQueued(const std::shared_ptr<leaf_call> &call);
    void completeUnsent(leaf_call &call);
    void completeWithFailure(leaf_call &call, const http_failure &failure);
    bool mayBeSent(const leaf_call &call) const;
    bool acceptsRequests(const known_replica &target) const;
    void applySignals(target_connections &target, const reply_signals &signals, unsigned status);
    void complete(leaf_call &call, leaf_call_result result);

    asio::any_io_executor m_executor;
    const leaf_protocol &m_protocol;
    replica_set &m_replicas;
    const replica_subset &m_subset;
    event_log &m_log;
    counters &m_events;
    reply_limits m_replyLimits;
    std::minstd_rand m_random;
    std::map<known_replica *, target_connections_ptr> m_targets;
};

} // namespace gooseberrymoor
