#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/configuration/configuration_keys.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

class configuration_holder;
class counters;
class key_value_store;
struct configuration;
struct store_read;

// Builds a configuration from a read of `keys.root()`; the error names the key at fault.
tl::expected<configuration, std::string> configurationFrom(const store_read &read,
                                                           const configuration_keys &keys);

// Keeps a node's configuration up to date with the store. Not thread-safe.
class configuration_follower
{
public:
    // All references must outlive the follower.
    configuration_follower(asio::any_io_executor executor, key_value_store &store,
                           configuration_keys keys, configuration_holder &holder, duration poll,
                           counters &events);

    // Reads the store again and again until `stop`.
    asio::awaitable<void> run();

    // Ends `run` at its next wait.
    void stop();

    // When the store last answered; the clock's zero before the first answer.
    time_point lastAnswer() const { return m_lastAnswer; }

private:
    asio::awaitable<void> readOnce();

    key_value_store &m_store;
    configuration_keys m_keys;
    configuration_holder &m_holder;
    duration m_poll;
    counters &m_events;
    signal m_wake;
    time_point m_lastAnswer {};
    bool m_stopped = false;
};

} // namespace gooseberrymoor
