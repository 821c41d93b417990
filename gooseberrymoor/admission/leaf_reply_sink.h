#pragma once

namespace gooseberrymoor {

struct leaf_response;

// Where the answer to one leaf request goes.
class leaf_reply_sink
{
public:
    virtual ~leaf_reply_sink() = default;

    // Takes the answer; called once at most.
    virtual void reply(leaf_response response) = 0;
};

} // namespace gooseberrymoor
