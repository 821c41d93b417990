#pragma once

#include <string>

namespace gooseberrymoor {

// Where a cell's configuration lies in the store. Value type.
//
// Every accepted change writes the head key, and its condition is the head's last revision: so
// changes are in one order, and the head's revision is the revision of the configuration.
class configuration_keys
{
public:
    explicit configuration_keys(const std::string &cell)
        : m_root("/gooseberrymoor/" + cell + "/config/"),
          m_operations("/gooseberrymoor/" + cell + "/operations/")
    {
    }

    const std::string &root() const { return m_root; }
    std::string head() const { return m_root + "head"; }
    std::string zonesOut() const { return m_root + "zones_out"; }
    std::string servicePrefix() const { return m_root + "services/"; }
    std::string service(const std::string &name) const { return servicePrefix() + name; }

    // The operation key of one try of one change; outside `root`, so that readers miss it.
    std::string operation(const std::string &id) const { return m_operations + id; }

private:
    std::string m_root;
    std::string m_operations;
};

} // namespace gooseberrymoor
