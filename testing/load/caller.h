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

// One caller with one connection: sends a request, waits for its answer, sends the next.
// What was refused as not run may go to another entry; a request that is not idempotent is never
// sent again once it may have run.
class caller
{
public:
    // `number` tells the callers apart. References must outlive the caller.
    caller(boost::asio::any_io_executor executor, int number, const load_settings &settings,
           entry_list &entries, load_report &report);

    // Sends requests from `begin` on until the time is over. With a rate each request has a time
    // at which it is due, and its latency counts from then, also when the caller is behind.
    boost::asio::awaitable<void> run(gooseberrymoor::time_point begin);

private:
    enum class attempt_result {
        done,
        tryOtherEntry,
    };

    boost::asio::awaitable<void> request(std::uint64_t index, gooseberrymoor::time_point due);
    boost::asio::awaitable<attempt_result> attempt(std::string body, bool last,
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
