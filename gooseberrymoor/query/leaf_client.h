#pragma once

#include "gooseberrymoor/peer/frame_handler.h"
#include "gooseberrymoor/query/query_run.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace gooseberrymoor {

class counters;
class leaf_response_queue;
class leaf_service;
class peer_network;

// Sends leaf requests to the owners of their targets, over peer channels or within this process,
// and delivers each response to the query that sent the request. Drops and counts responses that
// arrive on another channel than the request was sent on, or whose request is no longer pending.
// Not thread-safe.
class leaf_client : public frame_handler
{
public:
    // References must outlive the client.
    leaf_client(std::string ownName, peer_network &network, leaf_service &local, counters &events);
    ~leaf_client() override;

    // Sends the request and returns its id. Its response, or the reason for its failure, goes to
    // `responses`, possibly before this returns.
    std::uint64_t send(outgoing_leaf_request outgoing,
                       std::shared_ptr<leaf_response_queue> responses);

    // Cancels request `id`: its response is no longer needed. Does nothing if it is not pending.
    void cancel(std::uint64_t id);

    // Returns the number of requests without a response yet.
    std::size_t outstanding() const { return m_pending.size(); }

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    class local_reply_sink;
    struct pending_request
    {
        int attempt = 0;
        std::string owner;
        std::shared_ptr<leaf_response_queue> responses;
        std::shared_ptr<peer_channel> channel; // null if this process owns the target
        std::uint64_t position = 0; // in the channel's queue
    };

    void complete(std::uint64_t id, leaf_response response);
    void completeLocal(std::uint64_t id, leaf_response response);

    std::string m_ownName;
    peer_network &m_network;
    leaf_service &m_local;
    counters &m_events;
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_lastId = 0;
    std::shared_ptr<leaf_client *> m_self; // sinks hold weak references: they may outlive this
};

} // namespace gooseberrymoor
