#pragma once

#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/forward/leaf_call_result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace gooseberrymoor {

// An ended call of a run.
struct leaf_completion
{
    std::size_t shard = 0;
    std::uint64_t attempt = 0;
    std::string target; // its id
    leaf_call_result answer;
};

// Where the calls of one run put their endings, and its task waits for them. Not thread-safe.
class leaf_completion_queue
{
public:
    explicit leaf_completion_queue(asio::any_io_executor executor) : wake(std::move(executor)) { }

    // Puts one ending and wakes the run.
    void put(leaf_completion ended)
    {
        endings.push_back(std::move(ended));
        wake.notify();
    }

    std::deque<leaf_completion> endings;
    signal wake;
};

} // namespace gooseberrymoor
