#pragma once

#include "gooseberrymoor/admission/leaf_message.h"
#include "gooseberrymoor/base/signal.h"

#include <deque>
#include <optional>
#include <utility>

namespace gooseberrymoor {

// The answers that wait for one query's task. Not thread-safe.
class leaf_inbox
{
public:
    using entry = std::pair<int, leaf_response>; // attempt and answer

    explicit leaf_inbox(asio::any_io_executor executor);

    // Adds an answer and wakes the task.
    void push(int attempt, leaf_response response);

    // Wakes the task without an answer.
    void wake() { m_wake.notify(); }

    // Takes the oldest answer, if there is one.
    std::optional<entry> pop();

    // Sleeps until an answer is there or `until`.
    asio::awaitable<void> wait(time_point until);

private:
    std::deque<entry> m_entries;
    signal m_wake;
};

} // namespace gooseberrymoor
