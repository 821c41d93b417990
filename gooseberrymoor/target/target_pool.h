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

// The owner's connection pool for one target, with the queue of requests for it. Runs one task for
// each connection. A connection's task does not suspend between admitting a request and starting to
// write it, so the allowance cannot decrease in between. Not thread-safe.
class target_pool : public std::enable_shared_from_this<target_pool>,
                    private control_connection_listener
{
public:
    // References must outlive the pool's last task.
    target_pool(asio::any_io_executor executor, std::string service, target_config target,
                target_limits limits, const target_ownership &ownership, counters &counters);
    ~target_pool() override;

    // Accepts requests from now on. If the pool was closed, the target starts cold.
    void open();

    // Stops sending requests. Queued and new requests are refused as not run with `reason`; running
    // requests finish, and the connections are then closed.
    void close(error_kind reason);

    // Applies changed limits and attributes of the target. Its address must not change.
    void configure(const target_config &target, const target_limits &limits);

    // Sends or queues a request of node `origin`, or refuses it. `sink` receives the response.
    void submit(const std::string &origin, leaf_request request,
                std::shared_ptr<leaf_reply_sink> sink);

    // Cancels request `id` of `origin`: withdraws it if it is queued, and asks the target to stop
    // it otherwise.
    void cancel(const std::string &origin, std::uint64_t id);

    // Whether no request is queued and none occupies a slot, as of the last event. Slots that have
    // become free since, by the time that has passed, are still counted as occupied.
    bool isIdle() const { return m_requests.empty() && m_admission.occupiedSlots() == 0; }

    // Whether a request is queued or may be running at the target at `now`, including requests
    // whose response was lost.
    bool mayHaveRunningRequests(time_point now) const;

    // "service/target".
    const std::string &key() const { return m_key; }
    const target_admission &admission() const { return m_admission; }
    const target_config &target() const { return m_target; }
    // Number of connections for leaf requests that are open or being opened.
    int connectionCount() const { return m_budget.openCount(); }
    const connection_budget &budget() const { return m_budget; }
    // The reason passed to `close`; empty while the pool accepts requests.
    std::optional<error_kind> closeReason() const { return m_closeReason; }

private:
    // The pool's own number of a request. The id in the messages to the target is derived from it,
    // see `targetRequestId`.
    using request_id = target_admission::request_id;
    // The origin of a request and the id that the origin has given it, as in `submit` and `cancel`.
    using request_key = std::pair<std::string, std::uint64_t>;

    // A request that was submitted and has no response yet.
    struct tracked_request
    {
        request_key key;
        leaf_request request;
        time_point deadline;
        std::shared_ptr<leaf_reply_sink> sink;
        bool isStopped = false; // the target confirmed a cancellation
    };

    void onHealth(const target_status &status) override;
    void onStopped(std::uint64_t requestId) override;
    void onUnreachable() override;

    std::optional<error_kind> toErrorKind(offer_result result) const;
    void dispatchQueue();
    void openConnections(int count, time_point now);
    bool shouldOpenConnection(int backlog) const;
    void wakeIdleConnections(int count);
    void onAdmissionChanged(int previousAllowance, time_point now);
    void refuse(const std::vector<request_id> &requests, error_kind kind);
    void completeRequest(request_id requestId, leaf_response response);
    void failRequest(request_id requestId, error_kind kind, verdict outcome);
    void handleReply(request_id requestId, const target_reply &reply, time_point now);
    void stopControlWhenIdle();
    void wakeTimer();
    void startTimer();
    time_point nextTimerExpiry(time_point now) const;
    asio::awaitable<void> connectionTask();
    asio::awaitable<bool> connect(http_connection &connection);
    asio::awaitable<void> serveConnection(http_connection &connection);
    asio::awaitable<bool> waitForRequest(http_connection &connection);
    asio::awaitable<void> serveRequest(http_connection &connection, request_id requestId);
    asio::awaitable<void> timerTask();
    void onConnectFailed(time_point now);
    std::string targetRequestId(request_id requestId) const;

    asio::any_io_executor m_executor;
    std::string m_key; // "service/target"
    target_config m_target;
    const target_ownership &m_ownership;
    counters &m_counters;
    target_admission m_admission;
    connection_budget m_budget;
    control_connection m_control;
    std::map<request_id, tracked_request> m_requests;
    std::map<request_key, request_id> m_idsByKey;
    std::vector<idle_connection *>
        m_idleConnections; // stack: the most recently used is woken first
    signal m_timerWake;
    time_point m_timerExpiry = time_point::max();
    std::optional<error_kind> m_closeReason;
    std::string m_poolId;
    std::minstd_rand m_random;
    request_id m_lastRequestId = 0;
    duration m_lastConnectDuration {};
    time_point m_connectBackoffUntil {};
    int m_consecutiveConnectFailures = 0;
    int m_connectingCount = 0;
    int m_wokenCount = 0; // connections that were woken and whose tasks have not resumed yet
    int m_busyCount = 0;
    bool m_hasTimer = false;
};

} // namespace gooseberrymoor
