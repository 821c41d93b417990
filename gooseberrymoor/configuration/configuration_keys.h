#pragma once

#include <string>

namespace gooseberrymoor {

// Store keys of a cell's configuration. Value type.
//
// Every change writes the head key on condition that the head is still at the revision the change
// is based on. Accepted changes are therefore totally ordered, and the revision of the head is the
// revision of the configuration.
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

    // The operation key of one attempt at a change; outside `root`, so that reads and watches of
    // the configuration do not see it.
    std::string operation(const std::string &id) const { return m_operations + id; }

private:
    std::string m_root;
    std::string m_operations;
};

} // namespace gooseberrymoor
