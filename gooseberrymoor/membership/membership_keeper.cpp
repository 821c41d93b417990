#include "gooseberrymoor/membership/membership_keeper.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/membership/cell_view_codec.h"
#include "gooseberrymoor/membership/view_listener.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/store/key_value_store.h"

namespace gooseberrymoor {

namespace {

// Built outside the task: g++ 12 cannot compile initializer lists in a co_await expression.
store_transaction replaceView(const std::string &key, const cell_view &present,
                              const cell_view &wanted)
{
    return { { { key, present.epoch } }, { { key, encodeView(wanted), 0 } }, {} };
}

} // namespace

membership_keeper::membership_keeper(asio::any_io_executor executor, key_value_store &store,
                                     std::string cell, member self, duration poll,
                                     peer_network &network, counters &events)
    : m_store(store), m_key("/gooseberrymoor/" + cell + "/view"), m_self(std::move(self)),
      m_poll(poll), m_network(network), m_events(events), m_wake(std::move(executor))
{
}

void membership_keeper::addListener(view_listener &listener)
{
    m_listeners.push_back(&listener);
}

bool membership_keeper::isMember() const
{
    const member *self = m_view.find(m_self.name);
    return self && self->incarnation == m_self.incarnation && !self->leaving;
}

asio::awaitable<void> membership_keeper::run()
{
    while (!m_stopped) {
        const bool read = co_await readView();
        if (read && !isMember() && !m_departing) {
            co_await changeView([this](cell_view &view) { view.put(m_self); },
                                millis_clock::now() + m_poll);
        }
        if (!m_stopped)
            co_await m_wake.wait(millis_clock::now() + m_poll);
    }
}

asio::awaitable<bool> membership_keeper::markLeaving(time_point deadline)
{
    m_departing = true;
    m_self.leaving = true;
    co_return co_await changeView([this](cell_view &view) { view.put(m_self); }, deadline);
}

asio::awaitable<bool> membership_keeper::leave(time_point deadline)
{
    m_departing = true;
    co_return co_await changeView([this](cell_view &view) { view.remove(m_self.name); }, deadline);
}

void membership_keeper::stop()
{
    m_stopped = true;
    m_wake.notify();
}

asio::awaitable<bool> membership_keeper::readView()
{
    const auto read = co_await m_store.readPrefix(m_key);
    if (!read)
        co_return false;
    if (read->entries.empty())
        co_return true;
    auto view = decodeView(read->entries.front().value);
    if (!view) {
        m_events.add("view_malformed");
        co_return false;
    }
    view->epoch = read->entries.front().modRevision;
    adopt(std::move(*view));
    co_return true;
}

// Each change states the whole wish, so trying again after a lost answer is idempotent.
asio::awaitable<bool> membership_keeper::changeView(change apply, time_point deadline)
{
    while (millis_clock::now() < deadline) {
        cell_view wanted = m_view;
        apply(wanted);
        if (wanted == m_view)
            co_return true;
        const auto result = co_await m_store.transact(replaceView(m_key, m_view, wanted));
        if (result && result->succeeded) {
            wanted.epoch = result->revision;
            adopt(std::move(wanted));
            co_return true;
        }
        m_events.add("view_conflicts");
        if (!co_await readView())
            co_await m_wake.wait(millis_clock::now() + m_poll / 4);
    }
    co_return false;
}

void membership_keeper::adopt(cell_view next)
{
    if (next.epoch <= m_view.epoch)
        return;
    m_view = std::move(next);
    m_events.add("view_changes");
    std::map<std::string, endpoint> peers;
    for (const member &each : m_view.members) {
        if (each.name != m_self.name)
            peers[each.name] = each.peerAddress;
    }
    m_network.setPeers(std::move(peers));
    for (view_listener *listener : m_listeners)
        listener->onViewChanged(m_view);
}

} // namespace gooseberrymoor
