#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/membership/cell_view.h"

#include <functional>
#include <string>
#include <vector>

namespace gooseberrymoor {

class counters;
class key_value_store;
class peer_network;
class view_listener;

// Keeps this node in its cell's view and follows the view. Not thread-safe.
class membership_keeper
{
public:
    // All references must outlive the keeper.
    membership_keeper(asio::any_io_executor executor, key_value_store &store, std::string cell,
                      member self, duration poll, peer_network &network, counters &events);

    // Tells `listener` of each new view; it must outlive the keeper.
    void addListener(view_listener &listener);

    // Joins the view, then follows it until `stop`.
    asio::awaitable<void> run();

    // Marks this node as leaving in the view; returns whether the store took it by `deadline`.
    asio::awaitable<bool> markLeaving(time_point deadline);

    // Removes this node from the view; returns whether the store took it by `deadline`.
    asio::awaitable<bool> leave(time_point deadline);

    // Ends `run` at its next wait.
    void stop();

    // The newest view known.
    const cell_view &view() const { return m_view; }

    // Whether the newest view lists this process, not leaving.
    bool isMember() const;

private:
    using change = std::function<void(cell_view &)>;

    asio::awaitable<bool> readView();
    asio::awaitable<bool> changeView(change apply, time_point deadline);
    void adopt(cell_view next);

    key_value_store &m_store;
    std::string m_key;
    member m_self;
    duration m_poll;
    peer_network &m_network;
    counters &m_events;
    signal m_wake;
    std::vector<view_listener *> m_listeners;
    cell_view m_view;
    bool m_stopped = false;
    bool m_departing = false;
};

} // namespace gooseberrymoor
