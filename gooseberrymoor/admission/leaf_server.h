#pragma once

#include "gooseberrymoor/peer/frame_handler.h"

namespace gooseberrymoor {

class leaf_service;

// Takes leaf requests and cancellations from peers and sends the answers back on the same link.
class leaf_server : public frame_handler
{
public:
    // `service` must outlive the server.
    explicit leaf_server(leaf_service &service);

    bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) override;
    void onChannelClosed(const std::shared_ptr<peer_channel> &channel) override;

private:
    leaf_service &m_service;
};

} // namespace gooseberrymoor
