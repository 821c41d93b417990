#include "gooseberrymoor/fleet/fleet_announcer.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/store/key_value_store.h"
#include "gooseberrymoor/store/store_era_tracker.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Heartbeats reveal a failed node sooner. The lease still matters to a node that receives no
// heartbeats.
constexpr duration lease_duration { 5000 };
constexpr duration renewal_interval { 2200 };
constexpr duration initial_retry_delay { 300 };
constexpr duration max_retry_delay { 1200 };

} // namespace

fleet_announcer::fleet_announcer(asio::any_io_executor executor, key_value_store &store,
                                 store_era_tracker &era, std::string prefix, fleet_member own,
                                 event_log &log, counters &events)
    : m_store(store), m_era(era), m_key(std::move(prefix) + own.name), m_own(std::move(own)),
      m_log(log), m_events(events), m_wake(std::move(executor)), m_retryDelay(initial_retry_delay)
{
}

asio::awaitable<void> fleet_announcer::run()
{
    while (!m_stopped) {
        bool succeeded = true;
        if (hasLease())
            succeeded = co_await renew();
        if (!m_stopped && (!hasLease() || !m_isPublished))
            succeeded = co_await announce();
        if (m_stopped)
            break;
        if (m_isPublished || !succeeded)
            co_await m_wake.wait(millis_clock::now() + delayAfter(succeeded));
        while (!m_stopped && m_republishAt && millis_clock::now() < *m_republishAt)
            co_await m_wake.wait(*m_republishAt);
        m_republishAt.reset();
    }
}

void fleet_announcer::onEraChange(duration delay)
{
    m_republishAt = millis_clock::now() + delay;
    m_wake.notify();
}

// Whether a lease has been granted in the current era. Drops one of an earlier era.
bool fleet_announcer::hasLease()
{
    if (m_lease.id != 0 && m_lease.era < m_era.current())
        loseLease("era_changed");
    return m_lease.id != 0;
}

void fleet_announcer::loseLease(const char *reason)
{
    m_log.write("lease_lapsed", { { "lease", std::to_string(m_lease.id) }, { "reason", reason } });
    m_lease = {};
    m_isPublished = false;
}

// Records the era of an answer; returns whether the answer may be believed.
bool fleet_announcer::isCurrentEra(std::optional<store_era> era)
{
    if (!era || m_era.onSeen(*era) != era_order::older)
        return true;
    m_events.add("store_answers_of_earlier_era");
    return false;
}

duration fleet_announcer::delayAfter(bool succeeded)
{
    if (succeeded) {
        m_retryDelay = initial_retry_delay;
        return renewal_interval;
    }
    const duration delay = m_retryDelay;
    m_retryDelay = std::min(delay * 2, max_retry_delay);
    return delay;
}

void fleet_announcer::setLeaving()
{
    m_own.leaving = true;
    m_isPublished = false;
    m_wake.notify();
}

asio::awaitable<void> fleet_announcer::stop()
{
    m_stopped = true;
    m_wake.notify();
    if (hasLease()) {
        const auto ended = co_await m_store.revokeLease(m_lease.id);
        if (!ended)
            m_log.write("lease_not_ended", { { "reason", ended.error().detail } });
    }
    m_hasStopped = true;
}

asio::awaitable<bool> fleet_announcer::announce()
{
    if (!hasLease()) {
        const auto granted = co_await m_store.grantLease(lease_duration);
        if (!isCurrentEra(granted ? granted->era : granted.error().era) || !granted) {
            m_events.add("fleet_announcements_failed");
            co_return false;
        }
        m_lease = *granted;
    }
    const store_era era = m_lease.era;
    const bool leaving = m_own.leaving;
    store_transaction write;
    write.puts.push_back({ m_key, encodeFleetMember(m_own), m_lease.id });
    const auto written = co_await m_store.transact(std::move(write));
    const bool isBelieved = isCurrentEra(written ? written->era : written.error().era);
    // In a later era the lease may be another node's, so the key is published with a new one.
    if (!hasLease() || !isBelieved || (written && written->era != era))
        co_return false;
    if (!written) {
        m_events.add("fleet_announcements_failed");
        m_log.write("announcement_failed", { { "reason", written.error().detail } });
        if (written.error().failure == store_failure::lease_ended)
            m_lease = {};
        co_return false;
    }
    m_isPublished = leaving == m_own.leaving;
    m_log.write("announced",
                { { "leaving", leaving ? "true" : "false" },
                  { "revision", std::to_string(written->revision) } });
    co_return true;
}

asio::awaitable<bool> fleet_announcer::renew()
{
    const auto renewed = co_await m_store.keepAlive(m_lease.id);
    if (!isCurrentEra(renewed ? renewed->era : renewed.error().era) || !renewed) {
        m_events.add("fleet_renewals_failed");
        co_return false;
    }
    if (hasLease() && renewed->remaining == duration(0))
        loseLease("expired");
    co_return true;
}

} // namespace gooseberrymoor
