#include "gooseberrymoor/configuration/configuration_follower.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/store/key_value_store.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> configurationFrom(const store_read &read,
                                                           const configuration_keys &keys)
{
    configuration result;
    for (const store_entry &entry : read.entries) {
        if (entry.key == keys.head()) {
            result.revision = entry.modRevision;
        } else if (entry.key == keys.zonesOut()) {
            auto zones = decodeZones(entry.value);
            if (!zones)
                return tl::unexpected(entry.key + ": " + zones.error());
            result.zonesOut = std::move(*zones);
        } else if (entry.key.starts_with(keys.servicePrefix())) {
            auto service = decodeService(entry.value);
            if (!service)
                return tl::unexpected(entry.key + ": " + service.error());
            result.services[service->name] = std::move(*service);
        }
    }
    return result;
}

configuration_follower::configuration_follower(asio::any_io_executor executor,
                                               key_value_store &store, configuration_keys keys,
                                               configuration_holder &holder, duration poll,
                                               counters &events)
    : m_store(store), m_keys(std::move(keys)), m_holder(holder), m_poll(poll), m_events(events),
      m_wake(std::move(executor))
{
}

asio::awaitable<void> configuration_follower::run()
{
    while (!m_stopped) {
        co_await readOnce();
        if (!m_stopped)
            co_await m_wake.wait(millis_clock::now() + m_poll);
    }
}

void configuration_follower::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<void> configuration_follower::readOnce()
{
    const auto read = co_await m_store.readPrefix(m_keys.root());
    if (!read)
        co_return;
    m_lastAnswer = millis_clock::now();
    auto next = configurationFrom(*read, m_keys);
    if (!next) {
        m_events.add("configuration_malformed");
        co_return;
    }
    if (m_holder.offer(std::move(*next)))
        m_events.add("configuration_changes");
}

} // namespace gooseberrymoor
