#include "gooseberrymoor/mirror/mirror_follower.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/mirror/mirror_relay.h"
#include "gooseberrymoor/mirror/mirror_update.h"
#include "gooseberrymoor/mirror/reader_election.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration duty_check { 100 }; // of who reads
constexpr duration first_pause { 100 }; // after a failed call
constexpr duration longest_pause { 800 };
constexpr unsigned most_doublings = 3;
// Between two looks for a lost store by a node that has something to serve from and whose peers
// look more often.
constexpr duration relaxed_pause { 3000 };

} // namespace

mirror_follower::mirror_follower(asio::any_io_executor executor, follower_dependencies parts,
                                 std::string prefix, follower_timing timing)
    : m_parts(parts), m_prefix(std::move(prefix)), m_timing(timing), m_wake(std::move(executor)),
      m_random(std::random_device()())
{
    m_parts.relay.add(m_prefix, *this);
}

asio::awaitable<void> mirror_follower::run()
{
    while (!m_stopped) {
        if (!mustRead(millis_clock::now())) {
            co_await rest(duty_check);
            continue;
        }
        const bool succeeded = m_mustReadAll ? co_await readAll() : co_await readChanges();
        co_await rest(succeeded ? m_timing.beat : pauseAfterFailure());
    }
}

bool mirror_follower::mustRead(time_point now) const
{
    if (m_parts.duty.isStoreLost())
        return m_timing.probesLostStore;
    return m_mustReadAll || m_isBehind || m_parts.duty.isReader(now) || !isCurrent(now);
}

bool mirror_follower::isCurrent(time_point now) const
{
    return now - m_lastHeard <= m_timing.beat + m_timing.wait + m_timing.patience;
}

// Removals of the mirror come due meanwhile.
asio::awaitable<void> mirror_follower::rest(duration time)
{
    const time_point until = millis_clock::now() + time;
    while (!m_stopped && millis_clock::now() < until) {
        co_await m_wake.wait(std::min(until, m_parts.mirror.nextWake()));
        m_parts.mirror.onTime(millis_clock::now());
    }
}

void mirror_follower::onUpdate(const mirror_update &update)
{
    const time_point now = millis_clock::now();
    store_mirror &mirror = m_parts.mirror;
    if (mirror.revision() == 0)
        return;
    if (mirror.revision() < update.fromRevision) {
        m_parts.events.add("mirror_updates_missed");
        m_isBehind = true;
        return;
    }
    if (update.storeHealthyFor < mirror.storeHealthyFor(now))
        mirror.onOutage(now - update.storeHealthyFor);
    mirror.onChanges(update.changes, update.toRevision, now);
    m_lastHeard = now;
}

void mirror_follower::share(std::int64_t fromRevision, std::vector<store_change> changes)
{
    const time_point now = millis_clock::now();
    if (!m_parts.duty.isReader(now))
        return;
    m_parts.relay.share({ m_prefix, fromRevision, m_parts.mirror.revision(),
                          m_parts.mirror.storeHealthyFor(now), std::move(changes) });
}

void mirror_follower::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<bool> mirror_follower::readAll()
{
    const time_point begun = millis_clock::now();
    const auto read = co_await m_parts.store.readPrefix(m_prefix);
    if (!read) {
        onFailure(read.error());
        co_return false;
    }
    onSuccess(begun);
    m_parts.mirror.onRead(*read, millis_clock::now());
    m_mustReadAll = false;
    share(read->revision, {});
    co_return true;
}

asio::awaitable<bool> mirror_follower::readChanges()
{
    const time_point begun = millis_clock::now();
    const std::int64_t before = m_parts.mirror.revision();
    // One that is not the reader wants what there is now.
    const duration wait = m_parts.duty.isReader(begun) ? m_timing.wait : duration(0);
    const auto read = co_await m_parts.store.readChanges(m_prefix, before, wait);
    if (!read && read.error().failure == store_failure::history_lost) {
        m_parts.log.write("store_history_lost", { { "prefix", m_prefix } });
        m_parts.mirror.onOutage(millis_clock::now());
        m_mustReadAll = true;
        co_return co_await readAll();
    }
    if (!read) {
        onFailure(read.error());
        co_return false;
    }
    onSuccess(begun);
    share(before, m_parts.mirror.onChanges(read->changes, read->revision, millis_clock::now()));
    co_return true;
}

void mirror_follower::onFailure(const store_error &error)
{
    ++m_failures;
    m_parts.duty.setStoreLost(true);
    m_parts.events.add("mirror_reads_failed");
    m_parts.mirror.onOutage(millis_clock::now());
    if (m_inTouch || m_failures == 1)
        m_parts.log.write("store_lost",
                          { { "prefix", m_prefix },
                            { "reason", std::string(nameOf(error.failure)) },
                            { "detail", error.detail },
                            { "revision", std::to_string(m_parts.mirror.revision()) } });
    m_inTouch = false;
}

void mirror_follower::onSuccess(time_point begun)
{
    m_lastHeard = begun;
    m_failures = 0;
    m_isBehind = false;
    m_parts.duty.setStoreLost(false);
    if (m_inTouch)
        return;
    m_inTouch = true;
    m_parts.log.write("store_reached", { { "prefix", m_prefix } });
}

// Between half and all of a time that doubles with each failure in a row.
duration mirror_follower::pauseAfterFailure()
{
    const unsigned doublings = std::min(m_failures - 1, most_doublings);
    duration pause = std::min(first_pause * (1 << doublings), longest_pause);
    if (m_failures > 1 && !m_mustReadAll && !m_parts.duty.isProber(millis_clock::now()))
        pause = relaxed_pause;
    std::uniform_int_distribution<duration::rep> jitter(pause.count() / 2, pause.count());
    return duration(jitter(m_random));
}

} // namespace gooseberrymoor
