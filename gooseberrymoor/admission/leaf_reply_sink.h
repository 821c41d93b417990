#pragma once

namespace gooseberrymoor {

struct leaf_response;

// Receives the answer to one leaf request.
class leaf_reply_sink
{
public:
    virtual ~leaf_reply_sink() = default;

    // Called at most once.
    virtual void reply(leaf_response response) = 0;
};

} // namespace gooseberrymoor
