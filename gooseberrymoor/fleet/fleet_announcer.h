#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/fleet/fleet_member.h"

#include <cstdint>
#include <string>

namespace gooseberrymoor {

class counters;
class event_log;
class key_value_store;

// The task that publishes this node's key in the store. The key is attached to a lease that the
// task renews, so the store deletes the key after the node fails. Not thread-safe. The store, the
// log and the counters must outlive the task.
class fleet_announcer
{
public:
    fleet_announcer(asio::any_io_executor executor, key_value_store &store, std::string prefix,
                    fleet_member own, event_log &log, counters &events);

    // Publishes the key and renews its lease until `stop` is called.
    asio::awaitable<void> run();

    // Publishes that this node is leaving the fleet.
    void setLeaving();

    // Ends `run` and revokes the lease; completes when the store has answered.
    asio::awaitable<void> stop();

    // Whether `stop` has completed.
    bool hasStopped() const { return m_hasStopped; }

private:
    asio::awaitable<bool> announce();
    asio::awaitable<bool> renew();
    duration delayAfter(bool succeeded);

    key_value_store &m_store;
    std::string m_key;
    fleet_member m_own;
    event_log &m_log;
    counters &m_events;
    signal m_wake;
    std::int64_t m_lease = 0; // 0 without a lease
    bool m_isPublished = false; // the stored value matches `m_own`
    duration m_retryDelay; // used after the next failure
    bool m_stopped = false;
    bool m_hasStopped = false;
};

} // namespace gooseberrymoor
