#pragma once

#include "platform_store_state.h"

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"

#include <map>
#include <string>

namespace gooseberrymoor {

// How the stand-in answers now.
enum class store_fault_mode {
    no_fault,
    busy, // refuses every call
    silent, // takes calls in and never answers
};

// Answers the calls of the platform's store, with the faults that a test switches on.
// Not thread-safe.
class platform_store_stand_in : public http_handler
{
public:
    explicit platform_store_stand_in(asio::any_io_executor executor);

    asio::awaitable<http_reply> handle(http_request request) override;
    http_reply refuse(error_kind kind) override;

    // Changes the state and wakes those that wait for changes.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    void setFaultMode(store_fault_mode mood) { m_faultMode = mood; }

    // The next `count` writes are done and not answered.
    void loseWriteReplies(int count) { m_losses = count; }

    // Calls answered or not, by their path without the query.
    int calls(const std::string &path) const;

    platform_store_state &state() { return m_state; }

private:
    http_reply answer(const http_request &request);
    asio::awaitable<http_reply> watch(std::string path);
    asio::awaitable<void> withholdAnswer();

    platform_store_state m_state;
    signal m_changed;
    store_fault_mode m_faultMode = store_fault_mode::no_fault;
    int m_losses = 0;
    std::map<std::string, int> m_calls;
};

} // namespace gooseberrymoor
