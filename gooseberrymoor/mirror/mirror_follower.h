#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/mirror/store_mirror.h"

#include <random>
#include <string>

namespace gooseberrymoor {

class counters;
class event_log;
class key_value_store;
class mirror_relay;
class reader_election;
struct mirror_update;
struct store_error;

// How a `mirror_follower` calls the store. Value type.
struct follower_timing
{
    duration beat { 500 }; // between two reads of what changed
    duration wait { 0 }; // for which the store may hold a read until something changes
    duration patience { 1000 }; // with a reader that is silent, beyond beat and wait
    bool probesLostStore = true; // it calls a lost store until it is back; the others wait for that
};

// What a `mirror_follower` works with; all must outlive its task.
struct follower_dependencies
{
    key_value_store &store;
    store_mirror &mirror;
    mirror_relay &relay;
    reader_election &duty;
    event_log &log;
    counters &events;
};

// The task that keeps a `store_mirror` up to date: it reads the prefix, then what changed, and the
// prefix again when the store no longer has that history. After the first read only the fleet's
// reader calls the store; the others take what it passes on, and read for themselves when that
// stays out or does not fit what they have. Not thread-safe.
class mirror_follower
{
public:
    mirror_follower(asio::any_io_executor executor, follower_dependencies parts, std::string prefix,
                    follower_timing timing);

    // Follows until `stop`.
    asio::awaitable<void> run();

    // Ends `run` after its present call.
    void stop();

    // A peer has read the store.
    void onUpdate(const mirror_update &update);

    const std::string &prefix() const { return m_prefix; }

    // The store's revision that the mirror stands at; 0 before the first read.
    std::int64_t revision() const { return m_parts.mirror.revision(); }

    // What the mirror holds is no older.
    duration age(time_point now) const { return now - m_lastHeard; }

    // Whether the mirror is as new as a live reader keeps it.
    bool isCurrent(time_point now) const;

private:
    bool mustRead(time_point now) const;
    asio::awaitable<void> rest(duration time);
    asio::awaitable<bool> readAll();
    asio::awaitable<bool> readChanges();
    void onFailure(const store_error &error);
    void onSuccess(time_point begun);
    duration pauseAfterFailure();

    void share(std::int64_t fromRevision, std::vector<store_change> changes);

    follower_dependencies m_parts;
    std::string m_prefix;
    follower_timing m_timing;
    signal m_wake;
    std::mt19937_64 m_random;
    time_point m_lastHeard {}; // what the mirror holds is no older
    unsigned m_failures = 0; // in a row
    bool m_inTouch = false;
    bool m_mustReadAll = true;
    bool m_isBehind = false; // an update did not fit the mirror
    bool m_stopped = false;
};

} // namespace gooseberrymoor
