#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/forward/leaf_call.h"
#include "gooseberrymoor/forward/leaf_call_result.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class http_connection;
class leaf_protocol;
class replica_set;
class replica_subset;
struct http_failure;

// The connections of one node to the targets, one task for each; how many there may be says its
// `replica_subset`. Not thread-safe. What is passed by reference must outlive
// the executor's last task.
class leaf_pool
{
public:
    leaf_pool(asio::any_io_executor executor, const leaf_protocol &protocol,
              const replica_subset &subset, counters &events);
    ~leaf_pool();

    // Sends `call`, at once if a connection is free or may be opened, else when one becomes free.
    void send(std::shared_ptr<leaf_call> call);

    // Nobody waits for `call` any more: ends it if it still waits for a connection. One that is
    // under way goes on, so that its connection can be used again.
    void withdraw(const std::shared_ptr<leaf_call> &call);

    // Nobody waits for `call` any more: ends it, and with it the target's work.
    void abandon(const std::shared_ptr<leaf_call> &call);

    // Brings the connections in line with `replicas`: each target that this node holds gets one
    // ahead of its requests, idle ones to others are closed, and calls that wait for a target which
    // may not receive any more end as not run.
    void reconcile(const replica_set &replicas);

    // Closes what is idle; calls under way go on.
    void closeIdle();

    // Connections open now.
    std::size_t openConnections() const;

private:
    struct target_connections;
    struct open_connection;

    using shared_target = std::shared_ptr<target_connections>;

    shared_target connectionsTo(const std::shared_ptr<known_replica> &target);
    static bool isConnected(const target_connections &target);
    void startConnection(const shared_target &target, std::shared_ptr<leaf_call> first);
    asio::awaitable<void> runConnection(shared_target target, std::shared_ptr<open_connection> self,
                                        std::shared_ptr<leaf_call> call);
    asio::awaitable<std::shared_ptr<leaf_call>> nextCall(shared_target target,
                                                         std::shared_ptr<open_connection> self);
    asio::awaitable<bool> serve(std::shared_ptr<open_connection> self,
                                std::shared_ptr<leaf_call> call);
    asio::awaitable<bool> connect(std::shared_ptr<open_connection> self, known_replica &target,
                                  time_point deadline);
    std::shared_ptr<leaf_call> takeWaiting(target_connections &target);
    asio::awaitable<bool> makeUsable(std::shared_ptr<open_connection> self, leaf_call &call);
    void closeIdle(target_connections &target, time_point since);
    void forgetRemoved();
    void endWaiting(target_connections &target);
    void endUnsent(leaf_call &call);
    void endWithout(leaf_call &call, const http_failure &failure);
    void end(leaf_call &call, leaf_call_result answer);

    asio::any_io_executor m_executor;
    const leaf_protocol &m_protocol;
    const replica_subset &m_subset;
    counters &m_events;
    std::map<known_replica *, shared_target> m_targets;
};

} // namespace gooseberrymoor
