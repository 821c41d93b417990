#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/mirror/store_mirror.h"

#include <random>
#include <string>

namespace gooseberrymoor {

class counters;
class event_log;
class key_value_store;
struct store_error;

// How a `mirror_follower` calls the store. Value type.
struct follow_timing
{
    duration beat { 500 }; // between two reads of what changed
    duration wait { 0 }; // for which the store may hold a read until something changes
};

// The task that keeps a `store_mirror` up to date: it reads the prefix, then what changed, and the
// prefix again when the store no longer has that history. Not thread-safe. What is passed by
// reference must outlive the task.
class mirror_follower
{
public:
    mirror_follower(asio::any_io_executor executor, key_value_store &store, store_mirror &mirror,
                    std::string prefix, follow_timing timing, event_log &log, counters &events);

    // Follows until `stop`.
    asio::awaitable<void> run();

    // Ends `run` after its present call.
    void stop();

    // Whether the last call succeeded.
    bool isInTouch() const { return m_inTouch; }

    // When the last successful call began: what the mirror holds is no older.
    time_point lastHeard() const { return m_lastHeard; }

private:
    asio::awaitable<bool> readAll();
    asio::awaitable<bool> readChanges();
    void onFailure(const store_error &error);
    void onSuccess(time_point begun);
    duration pauseAfterFailure();

    key_value_store &m_store;
    store_mirror &m_mirror;
    std::string m_prefix;
    follow_timing m_timing;
    event_log &m_log;
    counters &m_events;
    signal m_wake;
    std::mt19937_64 m_random;
    time_point m_lastHeard {};
    unsigned m_failures = 0; // in a row
    bool m_inTouch = false;
    bool m_mustReadAll = true;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
