#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/target_config.h"
#include "gooseberrymoor/configuration/target_limits.h"
#include "gooseberrymoor/target/connection_budget.h"
#include "gooseberrymoor/target/control_connection.h"
#include "gooseberrymoor/target/control_connection_listener.h"
#include "gooseberrymoor/target/target_reply.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrymoor {

class counters;
class http_connection;
class leaf_reply_sink;
class target_ownership;
struct idle_connection;

// The owner's connections to one target and the requests that wait for it. One task for each
// connection. A request is admitted and written in one step, so what was admitted under an older
// allowance is never sent later. Not thread-safe.
class target_pool : public std::enable_shared_from_this<target_pool>,
                    private control_connection_listener
{
public:
    // References must outlive the pool's last task.
    target_pool(asio::any_io_executor executor, std::string service, target_config target,
                target_limits limits, const target_ownership &ownership, counters &events);
    ~target_pool() override;

    // Takes work from now on. After `close` the target counts as cold.
    void open();

    // Sends nothing more: what waits, and what comes, is refused as not run with `reason`; what
    // runs is finished. Closes the connections then.
    void close(error_kind reason);

    // Puts other limits and attributes of the same address in force.
    void configure(const target_config &target, const target_limits &limits);

    // Takes a request of node `origin`.
    void submit(const std::string &origin, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink);

    // The answer to request `id` of `origin` is no longer wanted.
    void cancel(const std::string &origin, std::uint64_t id);

    // Whether nothing waits and nothing may run.
    bool isIdle() const { return m_works.empty() && m_admission.occupiedSlots() == 0; }

    // Whether something waits, or may run at the target: also a request whose answer will not come.
    bool mayHaveRunningRequests(time_point now) const;

    // "service/target".
    const std::string &key() const { return m_key; }
    const target_admission &admission() const { return m_admission; }
    const target_config &target() const { return m_target; }
    // Connections for leaf requests, being opened or open.
    int connections() const { return m_budget.open(); }
    const connection_budget &budget() const { return m_budget; }
    // Why it takes no work; nothing while it does.
    std::optional<error_kind> closeReason() const { return m_closedWith; }

private:
    using ticket = target_admission::request_id;
    using request_key = std::pair<std::string, std::uint64_t>; // origin and its id

    struct work
    {
        request_key key;
        leaf_request request;
        time_point deadline;
        std::shared_ptr<leaf_reply_sink> sink; // null once answered
        bool isStopped = false; // the target confirmed a cancellation
    };

    void onHealth(const target_status &status) override;
    void onStopped(std::uint64_t which) override;
    void onUnreachable() override;

    std::optional<error_kind> refusalOf(offer_result result) const;
    void pump();
    void openConnections(int wanted, time_point now);
    bool isWorthOpening(int backlog) const;
    void callIdle(int wanted);
    void afterChange(int allowanceBefore, time_point now);
    void refuse(const std::vector<ticket> &requests, error_kind kind);
    void finishWork(ticket which, leaf_response response);
    void finishError(ticket which, error_kind kind, verdict outcome);
    void settle(ticket which, const target_reply &reply, time_point now);
    void stopControlWhenIdle();
    void wakeTimer();
    void startTimer();
    time_point nextTimer(time_point now) const;
    asio::awaitable<void> connectionTask();
    asio::awaitable<bool> connect(http_connection &connection);
    asio::awaitable<void> serveConnection(http_connection &connection);
    asio::awaitable<bool> waitForWork(http_connection &connection);
    asio::awaitable<void> serveTicket(http_connection &connection, ticket which);
    asio::awaitable<void> timerTask();
    void onConnectFailed(time_point now);
    std::string targetRequestId(ticket which) const;

    asio::any_io_executor m_executor;
    std::string m_key; // "service/target"
    target_config m_target;
    const target_ownership &m_ownership;
    counters &m_events;
    target_admission m_admission;
    connection_budget m_budget;
    control_connection m_control;
    std::map<ticket, work> m_works;
    std::map<request_key, ticket> m_tickets;
    std::vector<idle_connection *> m_idle; // the last used one is called first
    signal m_timerWake;
    time_point m_timerAt = time_point::max();
    std::optional<error_kind> m_closedWith;
    std::string m_poolId;
    std::minstd_rand m_random;
    ticket m_lastTicket = 0;
    duration m_connectTime {}; // that the last connection took to open
    time_point m_connectPausedUntil {};
    int m_connectFailures = 0; // in a row
    int m_connecting = 0;
    int m_called = 0; // idle connections that were woken and have not run yet
    int m_busy = 0;
    bool m_hasTimer = false;
};

} // namespace gooseberrymoor
