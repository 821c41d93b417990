#pragma once

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"
#include "target_settings.h"

#include <boost/json.hpp>

#include <map>
#include <set>
#include <string>

// Answers leaf requests as a target does, and keeps account of what it was given.
class target_handler : public gooseberrymoor::http_handler
{
public:
    target_handler(boost::asio::any_io_executor executor, target_settings settings);

    boost::asio::awaitable<gooseberrymoor::http_reply>
    handle(gooseberrymoor::http_request request) override;
    gooseberrymoor::http_reply refuse(gooseberrymoor::error_kind kind) override;

private:
    boost::asio::awaitable<gooseberrymoor::http_reply> handleLeaf(const std::string &body);
    gooseberrymoor::http_reply handleCancel(const std::string &body);
    gooseberrymoor::http_reply replyWith(unsigned status, boost::json::object body) const;
    std::string account() const;

    boost::asio::any_io_executor m_executor;
    target_settings m_settings;
    std::string m_instance;
    gooseberrymoor::signal m_slotFree;
    gooseberrymoor::signal m_cancelled;
    std::set<std::string> m_cancelledIds;
    std::map<std::string, int> m_runsByBody; // of requests that are not idempotent
    int m_running = 0;
    int m_waiting = 0;
    int m_mostRunning = 0;
    int m_served = 0;
    int m_shed = 0;
};
