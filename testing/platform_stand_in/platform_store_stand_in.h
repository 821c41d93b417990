#pragma once

#include "platform_store_state.h"

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/http/http_handler.h"

#include <map>
#include <string>

namespace gooseberrymoor {

// The fault that the store stand-in currently simulates.
enum class store_fault_mode {
    no_fault,
    busy, // refuses every call as overloaded
    silent, // accepts calls and never answers
};

// Serves the API of the platform's store with the faults that a test switches on.
// Not thread-safe.
class platform_store_stand_in : public http_handler
{
public:
    explicit platform_store_stand_in(asio::any_io_executor executor);

    asio::awaitable<http_reply> handle(http_request request) override;
    http_reply refuse(error_kind kind, std::string detail) override;

    // Change the state and wake waiting watches.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // Goes back to the copy of the state and cuts the watches that wait.
    void restoreCopy();

    // Whether answers tell the era; they do by default.
    void setTellsEra(bool tells) { m_tellsEra = tells; }

    void setFaultMode(store_fault_mode mode) { m_faultMode = mode; }

    // Applies the next `count` writes without answering them.
    void loseWriteReplies(int count) { m_repliesToLose = count; }

    // The number of calls to `path` (without its query), whether answered or not.
    int calls(const std::string &path) const;

    platform_store_state &state() { return m_state; }

private:
    asio::awaitable<http_reply> process(http_request request);
    http_reply answer(const http_request &request);
    asio::awaitable<http_reply> watch(std::string path);
    http_reply withEra(http_reply reply) const;
    asio::awaitable<void> withholdAnswer();

    platform_store_state m_state;
    signal m_changed;
    store_fault_mode m_faultMode = store_fault_mode::no_fault;
    bool m_tellsEra = true;
    int m_repliesToLose = 0;
    std::map<std::string, int> m_calls;
};

} // namespace gooseberrymoor
