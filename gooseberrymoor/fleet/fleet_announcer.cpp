#include "gooseberrymoor/fleet/fleet_announcer.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/fleet/fleet_member_codec.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Heartbeats tell of deaths sooner, but not to a node that hears nobody.
constexpr duration lease_time { 5000 };
constexpr duration renewal_beat { 1600 };
constexpr duration first_retry { 300 };
constexpr duration longest_retry { 1200 };

} // namespace

fleet_announcer::fleet_announcer(asio::any_io_executor executor, key_value_store &store,
                                 std::string prefix, fleet_member own, event_log &log,
                                 counters &events)
    : m_store(store), m_key(std::move(prefix) + own.name), m_own(std::move(own)), m_log(log),
      m_events(events), m_wake(std::move(executor)), m_retryPause(first_retry)
{
}

asio::awaitable<void> fleet_announcer::run()
{
    while (!m_stopped) {
        bool succeeded = true;
        if (m_lease != 0)
            succeeded = co_await renew();
        if (!m_stopped && (m_lease == 0 || !m_written))
            succeeded = co_await announce();
        if (m_stopped)
            break;
        if (m_written || !succeeded)
            co_await m_wake.wait(millis_clock::now() + pauseAfter(succeeded));
    }
}

duration fleet_announcer::pauseAfter(bool succeeded)
{
    if (succeeded) {
        m_retryPause = first_retry;
        return renewal_beat;
    }
    const duration pause = m_retryPause;
    m_retryPause = std::min(pause * 2, longest_retry);
    return pause;
}

void fleet_announcer::setLeaving()
{
    m_own.leaving = true;
    m_written = false;
    m_wake.notify();
}

asio::awaitable<void> fleet_announcer::stop()
{
    m_stopped = true;
    m_wake.notify();
    if (m_lease != 0) {
        const auto ended = co_await m_store.revokeLease(m_lease);
        if (!ended)
            m_log.write("lease_not_ended", { { "reason", ended.error().detail } });
    }
    m_hasStopped = true;
}

asio::awaitable<bool> fleet_announcer::announce()
{
    if (m_lease == 0) {
        const auto granted = co_await m_store.grantLease(lease_time);
        if (!granted) {
            m_events.add("fleet_announcements_failed");
            co_return false;
        }
        m_lease = *granted;
    }
    const bool leaving = m_own.leaving;
    store_transaction write;
    write.puts.push_back({ m_key, encodeFleetMember(m_own), m_lease });
    const auto written = co_await m_store.transact(std::move(write));
    if (!written) {
        m_events.add("fleet_announcements_failed");
        m_log.write("announcement_failed", { { "reason", written.error().detail } });
        if (written.error().failure == store_failure::lease_ended)
            m_lease = 0;
        co_return false;
    }
    m_written = leaving == m_own.leaving;
    m_log.write("announced",
                { { "leaving", leaving ? "true" : "false" },
                  { "revision", std::to_string(written->revision) } });
    co_return true;
}

asio::awaitable<bool> fleet_announcer::renew()
{
    const auto left = co_await m_store.keepAlive(m_lease);
    if (!left) {
        m_events.add("fleet_renewals_failed");
        co_return false;
    }
    if (*left == duration(0)) {
        m_log.write("lease_lapsed", { { "lease", std::to_string(m_lease) } });
        m_lease = 0;
        m_written = false;
    }
    co_return true;
}

} // namespace gooseberrymoor
