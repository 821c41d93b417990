#include "gooseberrymoor/mirror/mirror_follower.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/mirror/applied_changes.h"
#include "gooseberrymoor/mirror/mirror_relay.h"
#include "gooseberrymoor/mirror/mirror_update.h"
#include "gooseberrymoor/mirror/reader_election.h"
#include "gooseberrymoor/mirror/store_availability.h"
#include "gooseberrymoor/store/key_value_store.h"
#include "gooseberrymoor/store/store_era_tracker.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration reader_check_interval { 100 }; // between checks whether to read the store
constexpr duration removal_check_interval { 100 }; // while a removal waits for the store
constexpr duration initial_retry_delay { 100 };
constexpr duration max_retry_delay { 800 };
constexpr unsigned max_doublings = 3;
// Retry delay while the store is lost, for a node that has a copy to serve from and is not a
// prober; the probers call the store more often.
constexpr duration non_prober_retry_delay { 3000 };
// After the start of an era, the time in which the reader's snapshot mostly arrives, and the time
// over which nodes without it spread their own reads.
constexpr duration snapshot_wait { 1200 };
constexpr duration snapshot_read_spread { 1000 };
constexpr std::size_t max_snapshot_bytes = 2 * 1024 * 1024; // a larger one is not sent to peers

// The bytes of the keys and values of `update`.
std::size_t sizeOf(const mirror_update &update)
{
    std::size_t size = 0;
    for (const store_change &each : update.changes)
        size += each.key.size() + (each.value ? each.value->size() : 0);
    return size;
}

} // namespace

mirror_follower::mirror_follower(asio::any_io_executor executor, follower_dependencies dependencies,
                                 std::string prefix, follower_timing timing)
    : m_dependencies(dependencies), m_prefix(std::move(prefix)), m_timing(timing),
      m_wake(std::move(executor)), m_random(std::random_device()())
{
    m_dependencies.relay.addFollower(m_prefix, *this);
}

asio::awaitable<void> mirror_follower::run()
{
    while (!m_stopped) {
        if (!shouldReadStore(millis_clock::now())) {
            co_await sleepFor(reader_check_interval);
            continue;
        }
        const bool mustReadAll = m_mustReadAll || isOfEarlierEra();
        const bool succeeded = mustReadAll ? co_await readAll() : co_await readChanges();
        co_await sleepFor(succeeded ? m_timing.pollInterval : nextRetryDelay());
    }
}

bool mirror_follower::shouldReadStore(time_point now)
{
    if (m_dependencies.election.isStoreLost())
        return m_timing.probesLostStore;
    if (!m_mustReadAll && isOfEarlierEra())
        return m_dependencies.election.isReader(now) || now >= timeToReadEra(now);
    return m_mustReadAll || m_hasMissedUpdate || m_dependencies.election.isReader(now)
        || !isCurrent(now);
}

// Whether the store has begun a new era since the mirror was read.
bool mirror_follower::isOfEarlierEra() const
{
    return revision() != 0 && era() < m_dependencies.era.current();
}

// Records the era of an answer; returns whether it must not be believed.
bool mirror_follower::isAnswerOfEarlierEra(std::optional<store_era> era)
{
    if (!era || m_dependencies.era.onSeen(*era) != era_order::older)
        return false;
    m_dependencies.events.add("store_answers_of_earlier_era");
    return true;
}

void mirror_follower::onEraChange()
{
    m_wake.notify();
}

// Returns when to read the keys of a new era if no peer has sent them.
time_point mirror_follower::timeToReadEra(time_point now)
{
    if (m_awaitedEra != m_dependencies.era.current()) {
        m_awaitedEra = m_dependencies.era.current();
        std::uniform_int_distribution<duration::rep> spread(0, snapshot_read_spread.count());
        m_readEraAt = now + snapshot_wait + duration(spread(m_random));
    }
    return m_readEraAt;
}

bool mirror_follower::isCurrent(time_point now) const
{
    return !isOfEarlierEra()
        && now - m_currentAsOf
        <= m_timing.pollInterval + m_timing.maxWait + m_timing.readerGracePeriod;
}

// Sleeps for `time`. Meanwhile applies the mirror's removals as they become due.
asio::awaitable<void> mirror_follower::sleepFor(duration time)
{
    const time_point until = millis_clock::now() + time;
    while (!m_stopped && millis_clock::now() < until) {
        if (isOfEarlierEra() && m_dependencies.election.isReader(millis_clock::now()))
            co_return;
        const time_point next = std::max(m_dependencies.mirror.nextTimedChange(),
                                         millis_clock::now() + removal_check_interval);
        co_await m_wake.wait(std::min(until, next));
        if (m_dependencies.availability.hasServedRecently(millis_clock::now()))
            m_dependencies.mirror.onTime(millis_clock::now());
    }
}

void mirror_follower::onUpdate(const mirror_update &update)
{
    const time_point now = millis_clock::now();
    store_mirror &mirror = m_dependencies.mirror;
    if (m_dependencies.era.onSeen(update.era) == era_order::older) {
        m_dependencies.events.add("mirror_updates_of_earlier_era");
        return;
    }
    onServed(now);
    m_dependencies.availability.onOutageReported(now - update.storeHealthyFor);
    if (mirror.revision() == 0)
        return;
    if (update.isSnapshot) {
        applySnapshot(update);
        return;
    }
    if (isOfEarlierEra())
        return; // its changes mean nothing without the keys at the start of the era
    if (mirror.revision() < update.fromRevision) {
        m_dependencies.events.add("mirror_updates_missed");
        m_hasMissedUpdate = true;
        return;
    }
    mirror.onChanges(update.changes, update.toRevision, now);
    m_currentAsOf = now;
}

void mirror_follower::applySnapshot(const mirror_update &update)
{
    store_read read { update.toRevision, {}, m_dependencies.era.current() };
    for (const store_change &each : update.changes) {
        if (each.value)
            read.entries.push_back({ each.key, *each.value, each.modRevision });
    }
    m_dependencies.mirror.onFullRead(read, millis_clock::now());
    m_currentAsOf = millis_clock::now();
    m_hasMissedUpdate = false;
    m_dependencies.events.add("mirror_snapshots_received");
}

void mirror_follower::publish(applied_changes applied)
{
    const time_point now = millis_clock::now();
    if (!m_dependencies.election.isReader(now))
        return;
    mirror_update update { m_prefix, applied.fromRevision, m_dependencies.mirror.revision(),
                           m_dependencies.availability.healthyFor(now),
                           std::move(applied.changes) };
    update.era = era();
    update.isSnapshot = applied.isSnapshot;
    if (update.isSnapshot && sizeOf(update) > max_snapshot_bytes)
        return; // each peer reads the store itself
    m_dependencies.relay.publish(update);
}

void mirror_follower::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<bool> mirror_follower::readAll()
{
    const time_point startedAt = millis_clock::now();
    const auto read = co_await m_dependencies.store.readPrefix(m_prefix);
    const bool isFromEarlierEra = isAnswerOfEarlierEra(read ? read->era : read.error().era);
    if (!read) {
        onReadFailed(read.error());
        co_return false;
    }
    if (isFromEarlierEra)
        co_return true;
    onReadSucceeded(startedAt);
    applied_changes applied = m_dependencies.mirror.onFullRead(*read, millis_clock::now());
    m_mustReadAll = false;
    publish(std::move(applied));
    co_return true;
}

asio::awaitable<bool> mirror_follower::readChanges()
{
    const time_point startedAt = millis_clock::now();
    // Only the reader waits for changes; other nodes need the current state immediately.
    const duration maxWait
        = m_dependencies.election.isReader(startedAt) ? m_timing.maxWait : duration(0);
    const store_era askedEra = era();
    const auto read = co_await m_dependencies.store.readChanges(
        m_prefix, m_dependencies.mirror.revision(), maxWait);
    const bool isFromEarlierEra = isAnswerOfEarlierEra(read ? read->era : read.error().era);
    if ((read && isFromEarlierEra) || era() != askedEra)
        co_return true; // the revision that was asked for means nothing in the mirror's era
    if (isOfEarlierEra())
        co_return m_dependencies.election.isReader(startedAt) ? co_await readAll() : true;
    if (!read && read.error().failure == store_failure::history_lost) {
        m_dependencies.log.write("store_history_lost", { { "prefix", m_prefix } });
        m_mustReadAll = true;
        co_return co_await readAll();
    }
    if (!read) {
        onReadFailed(read.error());
        co_return false;
    }
    onReadSucceeded(startedAt);
    // A peer's update may have arrived during the read, and what it brought is not reported again.
    applied_changes applied
        = m_dependencies.mirror.onChanges(read->changes, read->revision, millis_clock::now());
    publish(std::move(applied));
    co_return true;
}

void mirror_follower::onReadFailed(const store_error &error)
{
    ++m_consecutiveFailures;
    m_dependencies.election.setStoreLost(true);
    m_dependencies.events.add("mirror_reads_failed");
    m_dependencies.availability.onCallFailed(millis_clock::now());
    if (m_isStoreReachable || m_consecutiveFailures == 1)
        m_dependencies.log.write(
            "store_lost",
            { { "prefix", m_prefix },
              { "reason", std::string(nameOf(error.failure)) },
              { "detail", error.detail },
              { "revision", std::to_string(m_dependencies.mirror.revision()) } });
    m_isStoreReachable = false;
}

void mirror_follower::onReadSucceeded(time_point startedAt)
{
    onServed(millis_clock::now());
    m_currentAsOf = startedAt;
    m_consecutiveFailures = 0;
    m_hasMissedUpdate = false;
    m_dependencies.election.setStoreLost(false);
    if (m_isStoreReachable)
        return;
    m_isStoreReachable = true;
    m_dependencies.log.write("store_reached", { { "prefix", m_prefix } });
}

void mirror_follower::onServed(time_point now)
{
    if (!m_dependencies.availability.onServed(now))
        return;
    m_dependencies.events.add("store_outages");
    m_dependencies.log.write("store_outage_ended", { { "prefix", m_prefix } });
}

// Exponential backoff; jitter reduces the delay by up to a half.
duration mirror_follower::nextRetryDelay()
{
    const unsigned doublings = std::min(m_consecutiveFailures - 1, max_doublings);
    duration delay = std::min(initial_retry_delay * (1 << doublings), max_retry_delay);
    if (m_consecutiveFailures > 1 && !m_mustReadAll
        && !m_dependencies.election.isProber(millis_clock::now()))
        delay = non_prober_retry_delay;
    std::uniform_int_distribution<duration::rep> jitter(delay.count() / 2, delay.count());
    return duration(jitter(m_random));
}

} // namespace gooseberrymoor
