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
class store_availability;
class store_era_tracker;
struct applied_changes;
struct mirror_update;
struct store_error;

// When and how a `mirror_follower` calls the store. Value type.
struct follower_timing
{
    duration pollInterval { 500 }; // between two reads of changes
    duration maxWait { 0 }; // long-poll timeout: the store answers after this time at the latest
    // Time for which a silent reader is tolerated, in addition to `pollInterval` and `maxWait`.
    duration readerGracePeriod { 1000 };
    // Whether this follower keeps calling the store while the store is lost. The other followers of
    // the node wait until the store is back.
    bool probesLostStore = true;
};

// The dependencies of a `mirror_follower`; all must outlive its task.
struct follower_dependencies
{
    key_value_store &store;
    store_mirror &mirror;
    store_availability &availability; // shared by all followers of the node
    store_era_tracker &era; // shared by all that call the store on this node
    mirror_relay &relay;
    reader_election &election;
    event_log &log;
    counters &events;
};

// The task that keeps a `store_mirror` up to date. It reads all keys below the prefix, then only
// changes, and all keys again if the store no longer has the history of changes. After the first
// read only the fleet's reader calls the store. The other nodes apply the updates that the reader
// sends, and read the store themselves if updates fail to arrive or start after the revision of the
// mirror. When the store begins a new era, the reader reads all keys and sends them to its peers;
// the others read them themselves only if that doesn't arrive, each after another delay. Answers
// and updates of an earlier era are dropped. Not thread-safe.
class mirror_follower
{
public:
    mirror_follower(asio::any_io_executor executor, follower_dependencies dependencies,
                    std::string prefix, follower_timing timing);

    // Keeps the mirror up to date until `stop` is called.
    asio::awaitable<void> run();

    // Ends `run` after the current call to the store.
    void stop();

    // Applies an update from a peer that has read the store.
    void onUpdate(const mirror_update &update);

    // To be called when this node has learned of a new era, so that its reader reads the store now.
    void onEraChange();

    const std::string &prefix() const { return m_prefix; }

    // The store revision of the mirror in its era; 0 before the first read.
    std::int64_t revision() const { return m_dependencies.mirror.revision(); }
    store_era era() const { return m_dependencies.mirror.era(); }

    // Upper bound of the age of the mirror's contents.
    duration age(time_point now) const { return now - m_currentAsOf; }

    // Whether the mirror is as recent as a working reader keeps it.
    bool isCurrent(time_point now) const;

private:
    bool shouldReadStore(time_point now);
    time_point timeToReadEra(time_point now);
    bool isOfEarlierEra() const;
    bool isAnswerOfEarlierEra(std::optional<store_era> era);
    asio::awaitable<void> sleepFor(duration time);
    asio::awaitable<bool> readAll();
    asio::awaitable<bool> readChanges();
    void onReadFailed(const store_error &error);
    void onReadSucceeded(time_point startedAt);
    void onServed(time_point now);
    duration nextRetryDelay();

    void publish(applied_changes applied);
    void applySnapshot(const mirror_update &update);

    follower_dependencies m_dependencies;
    std::string m_prefix;
    follower_timing m_timing;
    signal m_wake;
    std::mt19937_64 m_random;
    time_point m_currentAsOf {}; // the mirror's contents are at least this recent
    unsigned m_consecutiveFailures = 0;
    bool m_isStoreReachable = false;
    bool m_mustReadAll = true;
    bool m_hasMissedUpdate = false; // an update started after the mirror's revision
    store_era m_awaitedEra = store_era::first; // whose keys a peer is expected to send
    time_point m_readEraAt {}; // when to read them if it has not
    bool m_stopped = false;
};

} // namespace gooseberrymoor
