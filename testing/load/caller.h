#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/http/http_connection.h"

#include <cstdint>
#include <optional>
#include <string>

class entry_list;
class load_report;
struct load_settings;

// A caller with one connection that sends one request at a time. A request that was refused with
// the verdict not_run may be retried at another entry; a non-idempotent request is never retried
// once it may have run.
class caller
{
public:
    // `number` identifies the caller. The references must outlive it.
    caller(boost::asio::any_io_executor executor, int number, const load_settings &settings,
           entry_list &entries, load_report &report);

    // Sends requests from `begin` until the configured run time has passed. With a rate, each
    // request has a scheduled time and its latency is measured from then, even if the caller has
    // fallen behind schedule (no coordinated omission).
    boost::asio::awaitable<void> run(gooseberrymoor::time_point begin);

private:
    enum class attempt_result {
        done,
        tryOtherEntry,
    };

    boost::asio::awaitable<void> request(std::uint64_t index, gooseberrymoor::time_point due);
    boost::asio::awaitable<attempt_result> attempt(std::string body, bool isLastAttempt,
                                                   gooseberrymoor::time_point due,
                                                   gooseberrymoor::time_point deadline);
    boost::asio::awaitable<bool> connect(gooseberrymoor::time_point deadline);
    gooseberrymoor::http_request encode(const std::string &body,
                                        gooseberrymoor::duration timeout) const;
    bool mayResend(gooseberrymoor::verdict outcome) const;

    boost::asio::any_io_executor m_executor;
    int m_number;
    const load_settings &m_settings;
    entry_list &m_entries;
    load_report &m_report;
    std::optional<gooseberrymoor::http_connection> m_connection;
    gooseberrymoor::endpoint m_entry;
};
