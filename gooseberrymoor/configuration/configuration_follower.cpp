#include "gooseberrymoor/configuration/configuration_follower.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/configuration/configuration_sync_policy.h"
#include "gooseberrymoor/configuration/configuration_updater.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace gooseberrymoor {

namespace {

using namespace asio::experimental::awaitable_operators;
using watch_result = tl::expected<bool, store_error>;

} // namespace

configuration_follower::configuration_follower(asio::any_io_executor executor,
                                               key_value_store &store, configuration_keys keys,
                                               configuration_updater &updater,
                                               configuration_sync_policy &syncPolicy,
                                               counters &events)
    : m_store(store), m_keys(std::move(keys)), m_updater(updater), m_syncPolicy(syncPolicy),
      m_events(events), m_wake(std::move(executor))
{
}

asio::awaitable<void> configuration_follower::run()
{
    while (!m_stopped) {
        const planned_store_action plan = m_syncPolicy.nextStoreAction(millis_clock::now());
        switch (plan.action) {
        case store_action::wait:
            co_await m_wake.wait(plan.until);
            break;
        case store_action::read:
            co_await readOnce();
            break;
        case store_action::watch:
            co_await watchOnce(plan.until);
            break;
        }
    }
}

void configuration_follower::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<void> configuration_follower::readOnce()
{
    m_events.add("configuration_reads");
    const auto read = co_await m_store.readPrefix(m_keys.root());
    const time_point now = millis_clock::now();
    if (!read) {
        m_syncPolicy.onStoreFailure(now);
        co_return;
    }
    m_lastAnswer = now;
    m_lastReadRevision = read->revision;
    m_syncPolicy.onRead(now);
    m_updater.offer(*read);
}

asio::awaitable<void> configuration_follower::watchOnce(time_point until)
{
    m_events.add("configuration_watches");
    const time_point began = millis_clock::now();
    const auto ended = co_await (
        m_store.waitForChange(m_keys.root(), m_lastReadRevision, until - began) || m_wake.wait());
    if (m_stopped)
        co_return;
    const auto *changed = std::get_if<watch_result>(&ended);
    if (!changed)
        co_return;
    const time_point now = millis_clock::now();
    if (!*changed) {
        m_syncPolicy.onStoreFailure(now);
        co_return;
    }
    m_lastAnswer = **changed ? now : began;
    m_syncPolicy.onWatch(**changed, began, now);
}

} // namespace gooseberrymoor
