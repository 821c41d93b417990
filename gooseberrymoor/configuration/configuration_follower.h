#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/configuration_document.h"
#include "gooseberrymoor/configuration/configuration_keys.h"

#include <cstdint>

namespace gooseberrymoor {

class configuration_updater;
class configuration_sync_policy;
class counters;
class key_value_store;

// Keeps a node's configuration up to date with the store. A single task waits, reads or watches as
// `configuration_sync_policy` decides, with one store call at a time. Not thread-safe.
class configuration_follower
{
public:
    // All references must outlive the follower.
    configuration_follower(asio::any_io_executor executor, key_value_store &store,
                           configuration_keys keys, configuration_updater &updater,
                           configuration_sync_policy &syncPolicy, counters &events);

    // Follows the store until `stop`.
    asio::awaitable<void> run();

    // Ends `run` at its current or next wait or watch, or after the read in progress.
    void stop();

    // When the store last answered; the epoch of the clock before the first answer.
    time_point lastAnswer() const { return m_lastAnswer; }

private:
    asio::awaitable<void> readOnce();
    asio::awaitable<void> watchOnce(time_point until);

    key_value_store &m_store;
    configuration_keys m_keys;
    configuration_updater &m_updater;
    configuration_sync_policy &m_syncPolicy;
    counters &m_events;
    signal m_wake;
    time_point m_lastAnswer {};
    std::int64_t m_lastReadRevision = 0; // store revision at the last read
    bool m_stopped = false;
};

} // namespace gooseberrymoor
