#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/membership/membership_links.h"
#include "gooseberrymoor/membership/ownership.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class key_value_store;
class request_tracker;
class peer_network;
class view_listener;

// Keeps this node in its cell's view, follows the view, and drives `ownership` with the store and
// the links to the peers. Not thread-safe.
class membership_manager
{
public:
    // All references must outlive the keeper's last task.
    membership_manager(asio::any_io_executor executor, key_value_store &store, std::string cell,
                       member self, duration poll, ownership_timing timing, peer_network &network,
                       counters &events);

    // Tells `listener` of each new view; it must outlive the keeper.
    void addListener(view_listener &listener);

    // Asks `work` before a target is released; it must outlive the keeper.
    void setRequestTracker(const request_tracker &work) { m_ownership.setRequestTracker(work); }

    // The targets, each "service/name", and the availability zones out, that are configured now.
    void configure(std::set<std::string> targets, std::set<std::string> zonesOut);

    // Joins the view, then follows it until `stop`. The peer network must have its port by now:
    // it shows that no earlier start of this node runs.
    asio::awaitable<void> run();

    // Marks this node as leaving in the view; returns whether the view says so by `deadline`.
    asio::awaitable<bool> markLeaving(time_point deadline);

    // Removes this node from the view; returns whether the view says so by `deadline`. Nothing of
    // this node may run any more.
    asio::awaitable<bool> leave(time_point deadline);

    // Ends all tasks at their next wait.
    void stop();

    // The newest view known.
    const cell_view &view() const { return m_ownership.view(); }

    // Whether the newest view lists this process, not leaving.
    bool isActiveMember() const;

    // Which targets are this node's.
    const ownership &owners() const { return m_ownership; }

private:
    asio::awaitable<void> followStore();
    asio::awaitable<bool> readView();
    asio::awaitable<void> compareAndSwapView(cell_view wanted);
    asio::awaitable<void> retryReleases();
    duration readInterval() const;
    bool isLeaving() const;
    void perform(const ownership_actions &actions);
    void followUp(const ownership_actions &actions);
    void publishView();

    asio::any_io_executor m_executor;
    key_value_store &m_store;
    std::string m_key;
    duration m_pollInterval;
    duration m_heartbeat;
    peer_network &m_network;
    counters &m_events;
    ownership m_ownership;
    membership_links m_links;
    signal m_wake;
    signal m_storeWake;
    std::vector<view_listener *> m_listeners;
    std::int64_t m_publishedEpoch = 0;
    std::uint64_t m_publishedIncarnation = 0;
    bool m_readRequested = false;
    bool m_retryingReleases = false;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
