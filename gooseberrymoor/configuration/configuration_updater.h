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

// Validates and activates configurations received from the store or a peer. A malformed one is
// rejected: the last valid one stays active, and `fault` describes the error. Not thread-safe.
class configuration_updater
{
public:
    // All references must outlive the updater.
    configuration_updater(configuration_keys keys, configuration_holder &holder,
                          configuration_sync_policy &syncPolicy, counters &events);

    // Notifies `listener` of each newer configuration; it must outlive the updater.
    void addListener(configuration_listener &listener);

    // Activates `read`, all keys of the cell's configuration at one revision, unless it is
    // malformed or no newer than the active one. Returns whether it did.
    bool offer(const store_read &read);

    // Keys and revision of the active configuration; revision 0 before the first.
    const store_read &document() const { return m_document; }

    // Why a configuration newer than the active one was rejected, with its revision and key; empty
    // if none was.
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
