#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"
#include "gooseberrymoor/configuration/planned_store_action.h"
#include "gooseberrymoor/configuration/sync_timing.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace gooseberrymoor {

// What is sent back to a peer.
enum class peer_reply {
    nothing,
    announce, // the revision in force here
    ask, // for the peer's configuration
    answer, // the whole configuration in force here
};

constexpr name_table<peer_reply, 4> names(peer_reply)
{
    return { { { peer_reply::nothing, "nothing" },
               { peer_reply::announce, "announce" },
               { peer_reply::ask, "ask" },
               { peer_reply::answer, "answer" } } };
}

// Decides when a node asks the store, what it tells its peers, and whether it knows enough to
// take work. The first few live nodes of a cell, by a rendezvous rank, hold a watch on the store;
// the others hear of changes from their peers and read the store seldom. Not thread-safe.
class configuration_sync_policy
{
public:
    // `self` is this node's name; `seed` draws the jitter; the node started at `start`.
    configuration_sync_policy(std::string self, sync_timing timing, std::uint32_t seed,
                              time_point start);

    // What the task towards the store does at `now`.
    planned_store_action nextStoreAction(time_point now) const;

    // A read was answered at `now`.
    void onRead(time_point now);

    // A watch that began at `began` ended at `now`; `changed` says that it told of a change.
    void onWatch(bool changed, time_point began, time_point now);

    // A read or watch failed.
    void onStoreFailure(time_point now);

    // `revision` is in force here; it never goes down.
    void onActivated(std::int64_t revision);

    // A configuration of `revision` was refused as malformed: it is asked for no more.
    void onRejected(std::int64_t revision);

    // `peer` said which revision is in force there, and whether it reaches the store.
    peer_reply onAnnouncement(const std::string &peer, std::int64_t revision, bool reachesStore,
                              time_point now);

    // `peer`, where `revision` is in force, asked for a newer configuration.
    peer_reply onUpdateRequest(const std::string &peer, std::int64_t revision, time_point now);

    // `peer` sent its configuration.
    void onUpdate(const std::string &peer, time_point now);

    // Whether this node is one of those that watch the store. Nodes that do not reach it come
    // after those that do.
    bool isReader(time_point now) const;

    // Whether the last call of the store was answered; true before the first.
    bool reachesStore() const { return m_failures == 0; }

    // Whether neither the store nor a peer was heard for the stated time.
    bool isIsolated(time_point now) const;

    // Whether the revision in force is as new as any that this node has heard of since its start,
    // and the store or a peer was heard at all.
    bool isCurrent() const;

    // Peers heard of late.
    int livePeerCount(time_point now) const;

private:
    struct known_peer
    {
        time_point heard;
        bool reachesStore = false;
    };

    duration jittered(duration longest);
    void hear(const std::string &peer, time_point now);
    void heardStore(time_point when);
    duration retryWait() const;

    std::string m_self;
    sync_timing m_timing;
    std::minstd_rand m_random;
    std::uint64_t m_rank;
    std::map<std::string, known_peer> m_peers;
    std::int64_t m_activeRevision = 0;
    std::int64_t m_highestAnnounced = 0;
    std::int64_t m_refused = 0;
    time_point m_askedUntil;
    time_point m_heard; // store or any peer
    time_point m_nextCall;
    time_point m_nextSlowRead;
    int m_failures = 0;
    bool m_readDue = true;
    bool m_heardAny = false;
};

} // namespace gooseberrymoor
