#pragma once

#include "gooseberrymoor/peer/frame.h"

#include <memory>

namespace gooseberrymoor {

class peer_channel;

// What takes in the messages of some kinds. Called by the task of the connection.
class frame_handler
{
public:
    virtual ~frame_handler() = default;

    // One message came in on `channel`. False says it is malformed: the connection is closed.
    virtual bool onFrame(const std::shared_ptr<peer_channel> &channel, const frame &message) = 0;

    // The connection of `channel` has ended; nothing more comes from it.
    virtual void onChannelClosed(const std::shared_ptr<peer_channel> &channel) = 0;
};

} // namespace gooseberrymoor
