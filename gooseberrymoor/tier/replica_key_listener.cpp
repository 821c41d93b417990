#include "gooseberrymoor/tier/replica_key_listener.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/tier/catalog_decoder.h"

namespace gooseberrymoor {

namespace {

constexpr std::size_t max_entry_bytes = 16 * 1024; // of one target

} // namespace

replica_key_listener::replica_key_listener(const catalog_decoder &decoder, replica_set &replicas,
                                           event_log &log, counters &counters)
    : m_decoder(decoder), m_replicas(replicas), m_log(log), m_counters(counters)
{
}

void replica_key_listener::onValue(const std::string &key, const std::string &value,
                                   std::int64_t revision)
{
    const auto entry = m_decoder.decodeReplica(key, value);
    if (!entry) {
        m_counters.add("replica_entries_unreadable");
        m_log.write("target_unreadable", { { "key", key }, { "reason", entry.error() } });
        onRemoved(key);
        return;
    }
    const auto known = m_replicas.find(entry->id);
    const bool shouldLog = !known || known->entry.draining != entry->draining
        || known->entry.incarnation != entry->incarnation;
    m_replicas.put(*entry, millis_clock::now());
    m_targetIds[key] = entry->id;
    if (shouldLog)
        m_log.write("target_seen",
                    { { "target", entry->id },
                      { "service", entry->service },
                      { "address", toString(entry->address) },
                      { "draining", entry->draining ? "true" : "false" },
                      { "revision", std::to_string(revision) } });
}

std::size_t replica_key_listener::maxValueBytes() const
{
    return max_entry_bytes;
}

// Targets rewrite their keys periodically, mostly without a change of their decoded contents.
bool replica_key_listener::isSignificantChange(const std::string &before,
                                               const std::string &after) const
{
    const std::string anyKey = m_decoder.replicaPrefix() + "any";
    const auto previous = m_decoder.decodeReplica(anyKey, before);
    const auto entry = m_decoder.decodeReplica(anyKey, after);
    if (!previous || !entry)
        return previous.has_value() != entry.has_value();
    return *previous != *entry;
}

value_order replica_key_listener::orderOf(const std::string &value, const std::string &known) const
{
    const auto progress = m_decoder.decodeProgress(value);
    const auto knownProgress = m_decoder.decodeProgress(known);
    if (!progress || !knownProgress)
        return value_order::unknown;
    if (progress->incarnation > knownProgress->incarnation)
        return value_order::later_start;
    return *progress < *knownProgress ? value_order::older : value_order::not_older;
}

void replica_key_listener::onRemoved(const std::string &key)
{
    const auto found = m_targetIds.find(key);
    if (found == m_targetIds.end())
        return;
    m_log.write("target_gone", { { "target", found->second } });
    m_replicas.remove(found->second);
    m_targetIds.erase(found);
}

} // namespace gooseberrymoor
