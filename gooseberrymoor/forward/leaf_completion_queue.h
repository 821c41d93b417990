#pragma once

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/forward/leaf_call_result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace gooseberrymoor {

// A completed call to a target.
struct leaf_completion
{
    std::size_t shard = 0;
    std::uint64_t attempt = 0;
    std::string target; // id of the target
    leaf_call_result result;
};

// Completed calls of one caller's request, which its task waits for. Not thread-safe.
class leaf_completion_queue
{
public:
    explicit leaf_completion_queue(asio::any_io_executor executor) : wake(std::move(executor)) { }

    // Adds a completed call and wakes the waiting task.
    void put(leaf_completion completion)
    {
        completions.push_back(std::move(completion));
        wake.notify();
    }

    std::deque<leaf_completion> completions;
    signal wake;
};

} // namespace gooseberrymoor
