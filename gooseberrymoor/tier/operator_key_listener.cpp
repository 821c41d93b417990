#include "gooseberrymoor/tier/operator_key_listener.h"

#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/tier/catalog_decoder.h"

namespace gooseberrymoor {

operator_key_listener::operator_key_listener(const catalog_decoder &decoder, replica_set &replicas,
                                             event_log &log,
                                             std::function<void()> onConfigurationChange)
    : m_decoder(decoder), m_replicas(replicas), m_log(log),
      m_onConfigurationChange(std::move(onConfigurationChange))
{
}

void operator_key_listener::onValue(const std::string &key, const std::string &value,
                                    std::int64_t revision)
{
    if (m_decoder.isConfiguration(key)) {
        applyConfiguration(value, revision);
        return;
    }
    if (const auto zone = m_decoder.parseZoneOutKey(key)) {
        m_zonesOut.insert(*zone);
        m_replicas.setZonesOut(m_zonesOut);
        m_log.write("zone_out",
                    { { "availability_zone", *zone }, { "revision", std::to_string(revision) } });
    }
}

void operator_key_listener::onRemoved(const std::string &key)
{
    const auto zone = m_decoder.parseZoneOutKey(key);
    if (!zone)
        return;
    m_zonesOut.erase(*zone);
    m_replicas.setZonesOut(m_zonesOut);
    m_log.write("zone_back", { { "availability_zone", *zone } });
}

// Only configurations have an order: by their versions.
value_order operator_key_listener::orderOf(const std::string &value, const std::string &known) const
{
    const auto configuration = m_decoder.decodeConfiguration(value);
    const auto knownConfiguration = m_decoder.decodeConfiguration(known);
    if (!configuration || !knownConfiguration)
        return mirror_listener::orderOf(value, known);
    return configuration->version < knownConfiguration->version ? value_order::older
                                                                : value_order::not_older;
}

void operator_key_listener::applyConfiguration(const std::string &value, std::int64_t revision)
{
    auto configuration = m_decoder.decodeConfiguration(value);
    if (!configuration) {
        m_log.write(
            "configuration_refused",
            { { "reason", configuration.error() }, { "revision", std::to_string(revision) } });
        return;
    }
    const std::int64_t version = configuration->version;
    if (m_routes && version < m_routes->configuration().version) {
        m_log.write("configuration_older", { { "version", std::to_string(version) } });
        return;
    }
    m_routes = std::make_shared<const route_table>(std::move(*configuration));
    m_revision = revision;
    m_log.write(
        "configuration_in_force",
        { { "version", std::to_string(version) }, { "revision", std::to_string(revision) } });
    m_onConfigurationChange();
}

} // namespace gooseberrymoor
