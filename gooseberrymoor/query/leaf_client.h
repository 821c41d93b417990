#pragma once

#include "gooseberrymoor/peer/frame_handler.h"
#include "gooseberrymoor/query/query_run.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace gooseberrymoor {

class counters;
class leaf_inbox;
class leaf_service;
class peer_network;

// Sends leaf requests to the owners of their targets, over links or within this process, and
// gives each answer to the query that asked. An answer that comes on another link than its
// request left by, or for a request that is no longer known, is dropped and counted.
// Not thread-safe.
class leaf_client : public frame_handler
{
public:
    // References must outlive the gateway.
    leaf_client(std::string ownName, peer_network &network, leaf_service &local, counters &events);
    ~leaf_client() override;

    // Sends `call`; its answer, or why there is none, goes to `inbox`. Returns the request's id.
    std::uint64_t send(leaf_call call, std::shared_ptr<leaf_inbox> inbox);

    // The answer to request `id` is no longer wanted.
    void cancel(std::uint64_t id);

    // Requests without an answer yet.
    std::size_t outstanding() const { return m_pending.size(); }

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    class local_sink;
    struct pending
    {
        int attempt = 0;
        std::string owner;
        std::shared_ptr<leaf_inbox> inbox;
        std::shared_ptr<peer_channel> channel; // null: this process
        std::uint64_t position = 0;
    };

    void complete(std::uint64_t id, leaf_response response);
    void completeLocal(std::uint64_t id, leaf_response response);

    std::string m_ownName;
    peer_network &m_network;
    leaf_service &m_local;
    counters &m_events;
    std::map<std::uint64_t, pending> m_pending;
    std::uint64_t m_lastId = 0;
    std::shared_ptr<leaf_client *> m_alive; // lets sinks outlive the gateway
};

} // namespace gooseberrymoor
