#pragma once

#include "gooseberrymoor/peer/frame_handler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace gooseberrymoor {

class leaf_service;

// Receives leaf requests and cancellations from peers and sends each answer back on the channel of
// its request. When a channel closes, its unanswered requests are cancelled, because their answers
// can no longer be delivered.
class leaf_server : public frame_handler
{
public:
    // `service` must outlive the server.
    explicit leaf_server(leaf_service &service);
    ~leaf_server() override;

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    using open_requests = std::set<std::uint64_t>; // IDs of the unanswered requests of one channel
    class reply_sink;

    leaf_service &m_service;
    std::map<std::shared_ptr<peer_channel>, std::shared_ptr<open_requests>> m_openRequests;
};

} // namespace gooseberrymoor
