#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/fleet/fleet_member.h"
#include "gooseberrymoor/store/store_lease.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

class counters;
class event_log;
class key_value_store;
class store_era_tracker;

// The task that publishes this node's key in the store. The key is attached to a lease that the
// task renews, so the store deletes the key after the node fails. A lease of an earlier era is lost
// and is neither renewed nor revoked, as its id may belong to another node now; the key is
// published again with a new one. Not thread-safe. What is passed by reference must outlive the
// task.
class fleet_announcer
{
public:
    fleet_announcer(asio::any_io_executor executor, key_value_store &store, store_era_tracker &era,
                    std::string prefix, fleet_member own, event_log &log, counters &events);

    // Publishes the key and renews its lease until `stop` is called.
    asio::awaitable<void> run();

    // To be called when this node has learned of a new era: publishes the key again after `delay`,
    // by which the nodes of a fleet spread their calls.
    void onEraChange(duration delay);

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
    bool hasLease();
    bool isCurrentEra(std::optional<store_era> era);
    void loseLease(const char *reason);

    key_value_store &m_store;
    store_era_tracker &m_era;
    std::string m_key;
    fleet_member m_own;
    event_log &m_log;
    counters &m_events;
    signal m_wake;
    store_lease m_lease;
    bool m_isPublished = false; // the stored value matches `m_own`
    duration m_retryDelay; // used after the next failure
    std::optional<time_point> m_republishAt; // after the start of an era
    bool m_stopped = false;
    bool m_hasStopped = false;
};

} // namespace gooseberrymoor
