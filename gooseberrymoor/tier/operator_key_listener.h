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

// Takes in what operators wrote: the newest configuration, and availability zones that are out.
// A configuration never goes back to an older version. Not thread-safe. What is passed by
// reference must outlive it.
class operator_key_listener : public mirror_listener
{
public:
    // Calls `changed` after a newer configuration came into force.
    operator_key_listener(const catalog_decoder &reader, replica_set &replicas, event_log &log,
                          std::function<void()> changed);

    void onValue(const std::string &key, const std::string &value, std::int64_t revision) override;
    void onRemoved(const std::string &key) override;

    // The routes in force; null before the first configuration.
    const std::shared_ptr<const route_table> &routes() const { return m_routes; }

    // The store's revision of the configuration in force; 0 before the first.
    std::int64_t revision() const { return m_revision; }

private:
    void takeConfiguration(const std::string &value, std::int64_t revision);

    const catalog_decoder &m_reader;
    replica_set &m_replicas;
    event_log &m_log;
    std::function<void()> m_changed;
    std::shared_ptr<const route_table> m_routes;
    std::int64_t m_revision = 0;
    std::set<std::string> m_zonesOut;
};

} // namespace gooseberrymoor
