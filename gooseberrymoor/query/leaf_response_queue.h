#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/base/signal.h"

#include <deque>
#include <optional>
#include <utility>

namespace gooseberrymoor {

// The leaf responses that the task of one query has not handled yet. Not thread-safe.
class leaf_response_queue
{
public:
    using entry = std::pair<int, leaf_response>; // attempt and response

    explicit leaf_response_queue(asio::any_io_executor executor);

    // Adds a response and wakes the task.
    void push(int attempt, leaf_response response);

    // Wakes the task without adding a response.
    void wake() { m_wake.notify(); }

    // Removes and returns the oldest response; empty if there is none.
    std::optional<entry> pop();

    // Waits until a response is queued, `wake` is called or `until` is reached.
    asio::awaitable<void> wait(time_point until);

private:
    std::deque<entry> m_entries;
    signal m_wake;
};

} // namespace gooseberrymoor
