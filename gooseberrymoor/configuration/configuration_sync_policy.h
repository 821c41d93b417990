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

// Reply to a peer's message.
enum class peer_reply {
    nothing,
    announce, // the active revision of this node
    ask, // a request for the peer's configuration
    answer, // the complete active configuration of this node
};

constexpr name_table<peer_reply, 4> names(peer_reply)
{
    return { { { peer_reply::nothing, "nothing" },
               { peer_reply::announce, "announce" },
               { peer_reply::ask, "ask" },
               { peer_reply::answer, "answer" } } };
}

// Decides when a node calls the store, what it replies to its peers, and whether its configuration
// is recent enough to serve requests. The few live nodes of a cell whose names have the lowest
// hashes are readers, which watch the store; the others learn of changes from their peers and poll
// the store at a long interval. Not thread-safe.
class configuration_sync_policy
{
public:
    // `self` is this node's name; `seed` seeds the jitter; the node started at `start`.
    configuration_sync_policy(std::string self, sync_timing timing, std::uint32_t seed,
                              time_point start);

    // Returns what the task that calls the store does at `now`.
    planned_store_action nextStoreAction(time_point now) const;

    // Records that a read was answered at `now`.
    void onRead(time_point now);

    // Records that a watch begun at `began` ended at `now`, with or without a change.
    void onWatch(bool changed, time_point began, time_point now);

    // Records that a read or watch failed.
    void onStoreFailure(time_point now);

    // Records that `revision` is active at this node; the active revision never decreases.
    void onActivated(std::int64_t revision);

    // Records that `revision` was rejected as malformed, so that it is not requested again.
    void onRejected(std::int64_t revision);

    // Processes an announcement of the active revision of `peer` and of its access to the store.
    peer_reply onAnnouncement(const std::string &peer, std::int64_t revision, bool reachesStore,
                              time_point now);

    // Processes the request of `peer`, whose active revision is `revision`, for a newer
    // configuration.
    peer_reply onUpdateRequest(const std::string &peer, std::int64_t revision, time_point now);

    // Records that `peer` sent its configuration.
    void onUpdate(const std::string &peer, time_point now);

    // Whether this node is a reader. Nodes that do not reach the store rank after those that do.
    bool isReader(time_point now) const;

    // Whether the last store call was answered; true before the first.
    bool reachesStore() const { return m_failures == 0; }

    // Whether there has been no contact with the store or a peer for `sync_timing::isolation`.
    bool isIsolated(time_point now) const;

    // Whether there is an active revision, at least as new as any announced to this node since its
    // start, and there has been contact with the store or a peer.
    bool isCurrent() const;

    // Number of peers heard from within `livenessTimeout`.
    int livePeerCount(time_point now) const;

private:
    struct peer_state
    {
        time_point lastContact;
        bool reachesStore = false;
    };

    duration jittered(duration max);
    void recordPeerContact(const std::string &peer, time_point now);
    void recordStoreContact(time_point when);
    duration retryDelay() const;

    std::string m_self;
    sync_timing m_timing;
    std::minstd_rand m_random;
    std::uint64_t m_rank;
    std::map<std::string, peer_state> m_peers;
    std::int64_t m_activeRevision = 0;
    std::int64_t m_highestAnnouncedRevision = 0;
    std::int64_t m_rejectedRevision = 0;
    time_point m_requestDeadline;
    time_point m_lastContact; // from the store or any peer
    time_point m_nextCall;
    time_point m_nextSlowRead;
    int m_failures = 0;
    bool m_readDue = true;
    bool m_hasContact = false;
};

} // namespace gooseberrymoor
