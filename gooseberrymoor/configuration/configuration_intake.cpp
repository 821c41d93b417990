#include "gooseberrymoor/configuration/configuration_intake.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_document.h"
#include "gooseberrymoor/configuration/configuration_holder.h"
#include "gooseberrymoor/configuration/configuration_listener.h"
#include "gooseberrymoor/configuration/configuration_spread.h"

namespace gooseberrymoor {

configuration_intake::configuration_intake(configuration_keys keys, configuration_holder &holder,
                                           configuration_spread &spread, counters &events)
    : m_keys(std::move(keys)), m_holder(holder), m_spread(spread), m_events(events)
{
}

void configuration_intake::addListener(configuration_listener &listener)
{
    m_listeners.push_back(&listener);
}

bool configuration_intake::offer(const store_read &read)
{
    const std::int64_t revision = revisionOf(read, m_keys);
    if (revision <= m_document.revision)
        return false;
    auto next = configurationFrom(read, m_keys);
    if (!next) {
        m_fault = "revision " + std::to_string(revision) + ": " + next.error();
        m_events.add("configuration_malformed");
        m_spread.onRefused(revision);
        return false;
    }
    if (!m_holder.offer(std::move(*next)))
        return false;
    m_document = read;
    m_document.revision = revision;
    m_fault.clear();
    m_events.add("configuration_changes");
    m_spread.onInForce(revision);
    for (configuration_listener *listener : m_listeners)
        listener->onConfigurationInForce();
    return true;
}

} // namespace gooseberrymoor
