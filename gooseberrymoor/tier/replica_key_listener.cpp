#include "gooseberrymoor/tier/replica_key_listener.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/tier/catalog_decoder.h"

namespace gooseberrymoor {

replica_key_listener::replica_key_listener(const catalog_decoder &reader, replica_set &replicas,
                                           event_log &log, counters &events)
    : m_reader(reader), m_replicas(replicas), m_log(log), m_events(events)
{
}

void replica_key_listener::onValue(const std::string &key, const std::string &value,
                                   std::int64_t revision)
{
    const auto entry = m_reader.decodeReplica(key, value);
    if (!entry) {
        m_events.add("replica_entries_unreadable");
        m_log.write("target_unreadable", { { "key", key }, { "reason", entry.error() } });
        onRemoved(key);
        return;
    }
    const auto known = m_replicas.find(entry->id);
    const bool isSignificantChange = !known || known->entry.draining != entry->draining
        || known->entry.incarnation != entry->incarnation;
    m_replicas.put(*entry, millis_clock::now());
    m_ids[key] = entry->id;
    if (isSignificantChange)
        m_log.write("target_seen",
                    { { "target", entry->id },
                      { "service", entry->service },
                      { "address", toString(entry->address) },
                      { "draining", entry->draining ? "true" : "false" },
                      { "revision", std::to_string(revision) } });
}

// Targets write over and over what says nothing new of them.
bool replica_key_listener::isSignificantChange(const std::string &before,
                                               const std::string &after) const
{
    const std::string anyKey;
    const auto old = m_reader.decodeReplica(anyKey, before);
    const auto entry = m_reader.decodeReplica(anyKey, after);
    return !old || !entry || *old != *entry;
}

void replica_key_listener::onRemoved(const std::string &key)
{
    const auto found = m_ids.find(key);
    if (found == m_ids.end())
        return;
    m_log.write("target_gone", { { "target", found->second } });
    m_replicas.remove(found->second);
    m_ids.erase(found);
}

} // namespace gooseberrymoor
