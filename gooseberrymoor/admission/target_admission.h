#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/configuration/target_limits.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What became of a leaf request that was sent to a target.
enum class leaf_result {
    answered,
    shed,
    failed,
    lost, // its connection ended; it may still run
    timed_out, // no answer by its deadline; it may still run
};

constexpr name_table<leaf_result, 5> names(leaf_result)
{
    return { { { leaf_result::answered, "answered" },
               { leaf_result::shed, "shed" },
               { leaf_result::failed, "failed" },
               { leaf_result::lost, "lost" },
               { leaf_result::timed_out, "timed_out" } } };
}

// Decides what one target may be given: how many leaf requests run there at one time, and which
// wait. Plain state; the caller passes the time in. Not thread-safe.
class target_admission
{
public:
    using ticket = std::uint64_t;

    // A target that is new to its owner counts as cold.
    target_admission(target_limits limits, time_point now);

    // Puts a request in the queue. False if the queue is full or the deadline has passed.
    bool offer(ticket request, time_point deadline, time_point now);

    // The next request to send now, if one more may run.
    std::optional<ticket> startNext(time_point now);

    // A started request has ended.
    void finish(ticket request, leaf_result result, time_point now);

    // Takes a waiting request out of the queue; false if it does not wait.
    bool withdraw(ticket request);

    // Takes out the waiting requests whose deadline has passed.
    std::vector<ticket> expire(time_point now);

    // The target showed another instance than before: it starts cold.
    void observeInstance(const std::string &instance, time_point now);

    // How many requests may run at one time now.
    int allowance(time_point now) const;

    int running() const { return static_cast<int>(m_running.size()); }
    int waiting() const { return static_cast<int>(m_queue.size()); }

private:
    struct waiting_request
    {
        ticket request;
        time_point deadline;
    };

    void turnCold(time_point now);

    target_limits m_limits;
    std::deque<waiting_request> m_queue;
    std::map<ticket, time_point> m_running; // with deadlines
    std::string m_instance;
    time_point m_coldSince;
};

} // namespace gooseberrymoor
