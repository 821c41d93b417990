#pragma once

#include "gooseberrymoor/peer/frame_handler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace gooseberrymoor {

class leaf_service;

// Takes leaf requests and cancellations from peers and sends the answers back on the same link.
// When a link ends, what came over it is cancelled: nobody can hear the answers.
class leaf_server : public frame_handler
{
public:
    // `service` must outlive the server.
    explicit leaf_server(leaf_service &service);
    ~leaf_server() override;

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    using open_requests = std::set<std::uint64_t>; // by their ids, of one link
    class reply_sink;

    leaf_service &m_service;
    std::map<std::shared_ptr<peer_channel>, std::shared_ptr<open_requests>> m_open;
};

} // namespace gooseberrymoor
