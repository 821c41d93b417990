#include "gooseberrymoor/membership/membership_manager.h"

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/task.h"
#include "gooseberrymoor/membership/cell_view_codec.h"
#include "gooseberrymoor/membership/view_listener.h"
#include "gooseberrymoor/peer/peer_network.h"
#include "gooseberrymoor/store/key_value_store.h"

#include <random>

namespace gooseberrymoor {

namespace {

constexpr duration release_retry_interval { 10 };
constexpr int store_voter_view_size = 2; // as in majority_lease.cpp
constexpr duration min_read_interval { 20 };

// Built outside the task: g++ 12 cannot compile initializer lists in a co_await expression.
store_transaction replaceView(const std::string &key, const cell_view &wanted)
{
    return { { { key, wanted.epoch } }, { { key, encodeView(wanted), 0 } }, {} };
}

} // namespace

membership_manager::membership_manager(asio::any_io_executor executor, key_value_store &store,
                                       std::string cell, member self, duration pollInterval,
                                       ownership_timing timing, peer_network &network,
                                       counters &events)
    : m_executor(executor), m_store(store), m_key("/gooseberrymoor/" + cell + "/view"),
      m_pollInterval(pollInterval), m_heartbeat(timing.heartbeat), m_network(network),
      m_events(events), m_ownership(std::move(self), timing, std::random_device {}()),
      m_links(executor, network, m_ownership, timing.heartbeat, timing.suspicionTimeout(), events,
              [this](const ownership_actions &actions) { performLocalActions(actions); }),
      m_wake(executor), m_storeWake(executor)
{
}

void membership_manager::addListener(view_listener &listener)
{
    m_listeners.push_back(&listener);
}

void membership_manager::configure(std::set<std::string> targets, std::set<std::string> zonesOut)
{
    m_ownership.configure(std::move(targets), std::move(zonesOut));
}

bool membership_manager::isActiveMember() const
{
    return m_ownership.isInView() && !isLeaving();
}

bool membership_manager::isLeaving() const
{
    const member *self = view().find(m_ownership.self().name);
    return m_ownership.isInView() && self->leaving;
}

asio::awaitable<void> membership_manager::run()
{
    startTask(m_executor, m_events, "membership_store", followStore());
    while (!m_stopped) {
        perform(m_ownership.tick(millis_clock::now()));
        const time_point next = millis_clock::now() + m_heartbeat;
        while (!m_stopped && millis_clock::now() < next)
            co_await m_wake.wait(next);
    }
}

asio::awaitable<bool> membership_manager::markLeaving(time_point deadline)
{
    m_ownership.beginStop();
    perform(m_ownership.tick(millis_clock::now()));
    while (!m_stopped && !isLeaving() && millis_clock::now() < deadline)
        co_await m_wake.wait(std::min(deadline, millis_clock::now() + m_heartbeat));
    co_return isLeaving();
}

asio::awaitable<bool> membership_manager::leave(time_point deadline)
{
    m_ownership.beginLeave();
    perform(m_ownership.tick(millis_clock::now()));
    while (!m_stopped && m_ownership.isInView() && millis_clock::now() < deadline)
        co_await m_wake.wait(std::min(deadline, millis_clock::now() + m_heartbeat));
    co_return !m_ownership.isInView();
}

void membership_manager::stop()
{
    m_stopped = true;
    m_links.stop();
    m_wake.notify();
    m_storeWake.notify();
}

asio::awaitable<void> membership_manager::followStore()
{
    while (!m_stopped) {
        m_readRequested = false;
        const bool answered = co_await readView();
        const time_point now = millis_clock::now();
        // Requests for a read do not shorten the interval while the store does not answer.
        const time_point earliest = now + (answered ? min_read_interval : m_pollInterval);
        const time_point next = now + readInterval();
        while (!m_stopped && millis_clock::now() < (m_readRequested ? earliest : next))
            co_await m_storeWake.wait(m_readRequested ? earliest : next);
    }
}

// Members send new views to each other, so the members together read the store once per
// `m_pollInterval`; otherwise the store's load would grow with the number of nodes. In a view of
// two, the store has a vote in each member's lease, so each member reads once per interval.
duration membership_manager::readInterval() const
{
    const auto members = static_cast<int>(view().members.size());
    const bool sharesReads = m_ownership.isInView() && members > store_voter_view_size;
    return sharesReads ? m_pollInterval * members : m_pollInterval;
}

asio::awaitable<bool> membership_manager::readView()
{
    const time_point sentAt = millis_clock::now();
    const auto read = co_await m_store.readPrefix(m_key);
    if (!read || m_stopped)
        co_return false;
    std::int64_t epoch = 0;
    if (!read->entries.empty()) {
        auto view = decodeView(read->entries.front().value);
        if (!view) {
            m_events.add("view_malformed");
            co_return false;
        }
        epoch = read->entries.front().modRevision;
        view->epoch = epoch;
        perform(m_ownership.onView(std::move(*view), millis_clock::now()));
    }
    perform(m_ownership.onStoreRead(epoch, sentAt, millis_clock::now()));
    co_return true;
}

// Not retried: after a lost reply the view is read again, and a change that is still needed is
// proposed again.
asio::awaitable<void> membership_manager::compareAndSwapView(cell_view wanted)
{
    m_events.add("view_proposals");
    const auto result = co_await m_store.transact(replaceView(m_key, wanted));
    const bool succeeded = result && result->succeeded;
    if (!succeeded)
        m_events.add("view_conflicts");
    const std::int64_t epoch = succeeded ? result->revision : 0;
    perform(m_ownership.onProposalCompleted(wanted, epoch, millis_clock::now()));
}

// Runs only while another member waits for a target at which requests of this node still run.
asio::awaitable<void> membership_manager::retryReleases()
{
    m_retryingReleases = true;
    while (!m_stopped && m_ownership.hasPendingReleases()) {
        const time_point next = millis_clock::now() + release_retry_interval;
        co_await m_wake.wait(next);
        perform(m_ownership.retryPendingReleases());
    }
    m_retryingReleases = false;
}

void membership_manager::perform(const ownership_actions &actions)
{
    m_links.send(actions);
    performLocalActions(actions);
}

void membership_manager::performLocalActions(const ownership_actions &actions)
{
    if (m_stopped)
        return;
    if (actions.proposal)
        startTask(m_executor, m_events, "membership_swap", compareAndSwapView(*actions.proposal));
    if (actions.readView && !m_readRequested) {
        m_readRequested = true;
        m_storeWake.notify();
    }
    if (m_ownership.hasPendingReleases() && !m_retryingReleases) {
        m_retryingReleases = true;
        startTask(m_executor, m_events, "membership_release", retryReleases());
    }
    publishView();
}

void membership_manager::publishView()
{
    if (view().epoch == m_publishedEpoch)
        return;
    m_publishedEpoch = view().epoch;
    m_events.add("view_changes");
    if (std::exchange(m_publishedIncarnation, m_ownership.self().incarnation)
        != m_publishedIncarnation)
        m_events.add("membership_identities");
    std::map<std::string, endpoint> peers;
    std::set<std::string> peerNames;
    for (const member &each : view().members) {
        if (each.name == m_ownership.self().name)
            continue;
        peers[each.name] = each.peerAddress;
        peerNames.insert(each.name);
    }
    m_network.setPeers(std::move(peers));
    m_links.setPeers(peerNames);
    for (view_listener *listener : m_listeners)
        listener->onViewChanged(view());
    m_wake.notify();
}

} // namespace gooseberrymoor
