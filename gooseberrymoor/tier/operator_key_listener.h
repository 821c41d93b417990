#pragma once

#include "gooseberrymoor/mirror/mirror_listener.h"
#include "gooseberrymoor/routing/route_table.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace gooseberrymoor {

class catalog_decoder;
class event_log;
class replica_set;

// Applies the keys that operators write: the configuration, and the availability zones that are out
// of service. A configuration is never replaced by an older version. Not thread-safe. What is
// passed by reference must outlive it.
class operator_key_listener : public mirror_listener
{
public:
    // Calls `onConfigurationChange` whenever a configuration becomes active.
    operator_key_listener(const catalog_decoder &decoder, replica_set &replicas, event_log &log,
                          std::function<void()> onConfigurationChange);

    void onValue(const std::string &key, const std::string &value, std::int64_t revision) override;
    void onRemoved(const std::string &key) override;
    value_order orderOf(const std::string &value, const std::string &known) const override;

    // The routes of the active configuration; null before the first one.
    const std::shared_ptr<const route_table> &routes() const { return m_routes; }

    // The store revision of the active configuration; 0 before the first one.
    std::int64_t revision() const { return m_revision; }

private:
    void applyConfiguration(const std::string &value, std::int64_t revision);

    const catalog_decoder &m_decoder;
    replica_set &m_replicas;
    event_log &m_log;
    std::function<void()> m_onConfigurationChange;
    std::shared_ptr<const route_table> m_routes;
    std::int64_t m_revision = 0;
    std::set<std::string> m_zonesOut;
};

} // namespace gooseberrymoor
