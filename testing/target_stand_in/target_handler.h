#pragma once

#include "cold_start.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"
#include "health_history.h"
#include "target_settings.h"
#include "target_statistics.h"

#include <boost/json.hpp>

#include <deque>
#include <random>
#include <set>
#include <string>

// Serves leaf requests as a target does and counts what it received. Serves POST /leaf,
// POST /cancel, GET /health, GET /account, and POST /control. The body of /control is a JSON object
// with settings by name and the events "restart" and "turn_cold".
class target_handler : public gooseberrymoor::http_handler
{
public:
    target_handler(boost::asio::any_io_executor executor, target_settings settings);

    boost::asio::awaitable<gooseberrymoor::http_reply>
    handle(gooseberrymoor::http_request request) override;
    bool onConnectionOpened() override;
    void onConnectionClosed() override;

private:
    struct leaf
    {
        std::string id;
        std::string shard;
        std::string snapshot;
        std::string route;
        std::string body;
        bool isIdempotent = true;
        gooseberrymoor::time_point deadline;
    };

    static leaf parseLeafRequest(const std::string &body);
    boost::asio::awaitable<gooseberrymoor::http_reply> handleLeaf(leaf request);
    boost::asio::awaitable<gooseberrymoor::http_reply> runLeaf(leaf request);
    boost::asio::awaitable<gooseberrymoor::http_reply> handleCancel(std::string body);
    boost::asio::awaitable<void> waitForSlot(leaf request);
    boost::asio::awaitable<void> run(leaf request);
    gooseberrymoor::http_reply finishRequest(const leaf &request);
    bool isCancelled(const leaf &request) const;
    bool isExpired(const leaf &request) const;
    void throwIfRestarted(int generation) const;
    boost::asio::awaitable<void> stallConnection();
    gooseberrymoor::http_reply handleControl(const std::string &body);
    gooseberrymoor::http_reply health();
    gooseberrymoor::http_reply makeReply(unsigned status, boost::json::object body);
    void throwIfDown() const;
    bool isCold() const;
    void crash();
    void restart();
    void recordCancelled(const std::string &id);
    bool drawPermille(int permille);
    bool isDegradedFor(const leaf &request) const;
    gooseberrymoor::duration latencyOf(const leaf &request);

    boost::asio::any_io_executor m_executor;
    target_settings m_settings;
    std::string m_instance;
    std::mt19937 m_random;
    gooseberrymoor::signal m_changed; // of slots, cancellations or running requests
    cold_start m_coldStart;
    health_history m_healthHistory;
    target_statistics m_statistics;
    std::set<std::string> m_active; // ids of running and waiting requests
    std::set<std::string> m_cancelledIds;
    std::deque<std::string> m_cancelledOrder; // oldest first, to bound m_cancelledIds
    gooseberrymoor::time_point m_downUntil {}; // after a crash
    gooseberrymoor::time_point m_blockedUntil {}; // answers wait until then, see connection_cost_ms
    int m_generation = 0; // incremented with each restart
    int m_running = 0;
    int m_waiting = 0;
    int m_connections = 0;
};
