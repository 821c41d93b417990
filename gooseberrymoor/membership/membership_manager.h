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
class peer_network;
class request_tracker;
class view_listener;

// Maintains this node's membership in its cell's view, and connects `ownership` with the store and
// the links to the peers. Not thread-safe.
class membership_manager
{
public:
    // All references must outlive the manager's last task.
    membership_manager(asio::any_io_executor executor, key_value_store &store, std::string cell,
                       member self, duration pollInterval, ownership_timing timing,
                       peer_network &network, counters &events);

    // Adds a listener that is notified of each new view. It must outlive this object.
    void addListener(view_listener &listener);

    // Sets the tracker that is asked before a target is released. It must outlive this object.
    void setRequestTracker(const request_tracker &tracker)
    {
        m_ownership.setRequestTracker(tracker);
    }

    // Sets the configured targets, each "service/name", and the availability zones that are out of
    // service.
    void configure(std::set<std::string> targets, std::set<std::string> zonesOut);

    // Joins the view, then follows it until `stop`. The peer network must be listening already:
    // having its port proves that no earlier incarnation of this node is running.
    asio::awaitable<void> run();

    // Marks this node as leaving in the view; returns whether the view shows it by `deadline`.
    asio::awaitable<bool> markLeaving(time_point deadline);

    // Removes this node from the view; returns whether the view shows it by `deadline`. No request
    // of this node may run any more.
    asio::awaitable<bool> leave(time_point deadline);

    // Makes all tasks end at their next wait.
    void stop();

    // Returns the newest known view.
    const cell_view &view() const { return m_ownership.view(); }

    // Returns whether the newest view contains this incarnation and does not mark it as leaving.
    bool isActiveMember() const;

    // Returns the state of this node's target ownership.
    const ownership &owners() const { return m_ownership; }

private:
    asio::awaitable<void> followStore();
    asio::awaitable<bool> readView();
    asio::awaitable<void> compareAndSwapView(cell_view wanted);
    asio::awaitable<void> retryReleases();
    duration readInterval() const;
    bool isLeaving() const;
    void perform(const ownership_actions &actions);
    void performLocalActions(const ownership_actions &actions);
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
