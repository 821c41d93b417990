#include "gooseberrymoor/mirror/mirror_follower.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/event_log.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

constexpr duration first_pause { 100 }; // after a failed call
constexpr duration longest_pause { 800 };
constexpr unsigned most_doublings = 3;

} // namespace

mirror_follower::mirror_follower(asio::any_io_executor executor, key_value_store &store,
                                 store_mirror &mirror, std::string prefix, follow_timing timing,
                                 event_log &log, counters &events)
    : m_store(store), m_mirror(mirror), m_prefix(std::move(prefix)), m_timing(timing), m_log(log),
      m_events(events), m_wake(std::move(executor)), m_random(std::random_device()())
{
}

asio::awaitable<void> mirror_follower::run()
{
    while (!m_stopped) {
        const bool succeeded = m_mustReadAll ? co_await readAll() : co_await readChanges();
        if (m_stopped)
            break;
        const duration pause = succeeded ? m_timing.beat : pauseAfterFailure();
        const time_point next = millis_clock::now() + pause;
        while (!m_stopped && millis_clock::now() < next) {
            co_await m_wake.wait(std::min(next, m_mirror.nextWake()));
            m_mirror.onTime(millis_clock::now());
        }
    }
}

void mirror_follower::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<bool> mirror_follower::readAll()
{
    const time_point begun = millis_clock::now();
    const auto read = co_await m_store.readPrefix(m_prefix);
    if (!read) {
        onFailure(read.error());
        co_return false;
    }
    onSuccess(begun);
    m_mirror.onRead(*read, millis_clock::now());
    m_mustReadAll = false;
    co_return true;
}

asio::awaitable<bool> mirror_follower::readChanges()
{
    const time_point begun = millis_clock::now();
    const auto read = co_await m_store.readChanges(m_prefix, m_mirror.revision(), m_timing.wait);
    if (!read && read.error().failure == store_failure::history_lost) {
        m_log.write("store_history_lost", { { "prefix", m_prefix } });
        m_mirror.onOutage(millis_clock::now());
        m_mustReadAll = true;
        co_return co_await readAll();
    }
    if (!read) {
        onFailure(read.error());
        co_return false;
    }
    onSuccess(begun);
    std::vector<mirror_change> changes;
    for (const store_change &each : read->changes)
        changes.push_back({ each.key, each.value, each.modRevision });
    m_mirror.onChanges(changes, read->revision, millis_clock::now());
    co_return true;
}

void mirror_follower::onFailure(const store_error &error)
{
    ++m_failures;
    m_events.add("mirror_reads_failed");
    m_mirror.onOutage(millis_clock::now());
    if (m_inTouch || m_failures == 1)
        m_log.write("store_lost",
                    { { "prefix", m_prefix },
                      { "reason", std::string(nameOf(error.failure)) },
                      { "detail", error.detail },
                      { "revision", std::to_string(m_mirror.revision()) } });
    m_inTouch = false;
}

void mirror_follower::onSuccess(time_point begun)
{
    m_lastHeard = begun;
    m_failures = 0;
    if (m_inTouch)
        return;
    m_inTouch = true;
    m_log.write("store_reached", { { "prefix", m_prefix } });
}

// Between half and all of a time that doubles with each failure in a row.
duration mirror_follower::pauseAfterFailure()
{
    const unsigned doublings = std::min(m_failures - 1, most_doublings);
    const duration pause = std::min(first_pause * (1 << doublings), longest_pause);
    std::uniform_int_distribution<duration::rep> jitter(pause.count() / 2, pause.count());
    return duration(jitter(m_random));
}

} // namespace gooseberrymoor
