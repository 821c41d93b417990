#pragma once

#include "gooseberrymoor/peer/frame.h"

#include <memory>

namespace gooseberrymoor {

class peer_channel;

// Handles received messages of certain kinds. Called from the task of the connection.
class frame_handler
{
public:
    virtual ~frame_handler() = default;

    // Handles a message received on `channel`. Returns false if the message is malformed; the
    // connection is then closed.
    virtual bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) = 0;

    // Called when the connection of `channel` has ended. No more messages arrive on it.
    virtual void onChannelClosed(const std::shared_ptr<peer_channel> &channel) = 0;
};

} // namespace gooseberrymoor
