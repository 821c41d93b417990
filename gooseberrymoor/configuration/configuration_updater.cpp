#include "gooseberrymoor/configuration/configuration_updater.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_document.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_listener.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"

namespace gooseberrymoor {

configuration_updater::configuration_updater(configuration_keys keys, configuration_holder &holder,
                                             configuration_sync_policy &syncPolicy,
                                             counters &events)
    : m_keys(std::move(keys)), m_holder(holder), m_syncPolicy(syncPolicy), m_events(events)
{
}

void configuration_updater::addListener(configuration_listener &listener)
{
    m_listeners.push_back(&listener);
}

bool configuration_updater::offer(const store_read &read)
{
    const std::int64_t revision = revisionOf(read, m_keys);
    if (revision <= m_document.revision)
        return false;
    auto next = parseConfiguration(read, m_keys);
    if (!next) {
        m_fault = "revision " + std::to_string(revision) + ": " + next.error();
        m_events.add("configuration_malformed");
        m_syncPolicy.onRejected(revision);
        return false;
    }
    if (!m_holder.offer(std::move(*next)))
        return false;
    m_document = read;
    m_document.revision = revision;
    m_fault.clear();
    m_events.add("configuration_changes");
    m_syncPolicy.onActivated(revision);
    for (configuration_listener *listener : m_listeners)
        listener->onConfigurationActivated();
    return true;
}

} // namespace gooseberrymoor
