#pragma once

#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/store/store_entry.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

class configuration_holder;
class configuration_listener;
class configuration_sync_policy;
class counters;

// Takes in a cell's configuration as the store or a peer gave it. What is malformed is refused:
// the last good one stays in force, and the fault is shown. Not thread-safe.
class configuration_updater
{
public:
    // References must outlive the intake.
    configuration_updater(configuration_keys keys, configuration_holder &holder,
                          configuration_sync_policy &spread, counters &events);

    // Tells `listener` of each newer configuration; it must outlive the intake.
    void addListener(configuration_listener &listener);

    // Takes in `read`, all keys of the cell's configuration at one revision. Returns whether it is
    // now in force; an older one or a malformed one is not.
    bool offer(const store_read &read);

    // The keys of the configuration in force, and its revision; 0 before the first.
    const store_read &document() const { return m_document; }

    // Why a newer configuration than the one in force was refused, with its revision and key;
    // empty if none was.
    const std::string &fault() const { return m_fault; }

private:
    configuration_keys m_keys;
    configuration_holder &m_holder;
    configuration_sync_policy &m_syncPolicy;
    counters &m_events;
    std::vector<configuration_listener *> m_listeners;
    store_read m_document;
    std::string m_fault;
};

} // namespace gooseberrymoor
