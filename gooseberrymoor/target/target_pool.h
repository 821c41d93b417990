#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/target_config.h"
#include "gooseberrymoor/configuration/target_limits.h"
#include "gooseberrymoor/target/target_reply.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace gooseberrymoor {

class counters;
class http_connection;
class leaf_reply_sink;
class owner_permission;

// The owner's connections to one target and the requests that wait for it. One task for each
// connection. Not thread-safe.
class target_pool : public std::enable_shared_from_this<target_pool>
{
public:
    // References must outlive the pool's last task.
    target_pool(asio::any_io_executor executor, std::string service, target_config target,
                target_limits limits, const owner_permission &permission, counters &events);

    // Takes a request of node `origin`.
    void submit(const std::string &origin, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink);

    // The answer to request `id` of `origin` is no longer wanted.
    void cancel(const std::string &origin, std::uint64_t id);

    // Sends nothing more: what waits is refused as not run, what runs is finished.
    void retire();

    // Whether nothing waits and nothing runs.
    bool isIdle() const { return m_works.empty(); }

    // Whether something waits, or may run at the target; what lost its connection may do so
    // until its deadline.
    bool mayStillRun(time_point now) const { return !isIdle() || now < m_lostRunUntil; }

    // "service/target".
    const std::string &key() const { return m_key; }
    const target_admission &admission() const { return m_admission; }
    const target_config &target() const { return m_target; }
    int connections() const { return m_connections; }

private:
    struct work
    {
        std::string origin;
        leaf_request request;
        time_point deadline;
        std::shared_ptr<leaf_reply_sink> sink; // null once answered
    };
    using ticket = target_admission::ticket;

    void pump();
    void answer(ticket which, leaf_response response);
    void answerError(ticket which, error_kind kind, verdict outcome);
    asio::awaitable<void> connectionTask();
    asio::awaitable<void> serveTicket(http_connection &connection, ticket which);
    asio::awaitable<void> cancelTask(std::string id, time_point deadline);
    asio::awaitable<void> expiryTask();
    std::string targetRequestId(ticket which) const;

    asio::any_io_executor m_executor;
    std::string m_key; // "service/target"
    target_config m_target;
    target_limits m_limits;
    const owner_permission &m_permission;
    counters &m_events;
    target_admission m_admission;
    std::map<ticket, work> m_works;
    std::deque<ticket> m_started; // admitted, not yet taken by a connection's task
    signal m_wake;
    signal m_expiryWake;
    std::string m_poolId;
    ticket m_lastTicket = 0;
    time_point m_lostRunUntil {}; // latest deadline of what lost its connection
    int m_connections = 0;
    int m_idleConnections = 0;
    bool m_retired = false;
    bool m_expiryRunning = false;
};

} // namespace gooseberrymoor
