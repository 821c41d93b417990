#pragma once

#include <string_view>

namespace gooseberrymoor {

// Tracks the requests that this node has sent to targets that it owns or has owned.
class request_tracker
{
public:
    virtual ~request_tracker() = default;

    // Returns whether a request that this node sent to `target` ("service/name") may still be
    // running there.
    virtual bool mayHaveRunningRequests(std::string_view target) const = 0;
};

} // namespace gooseberrymoor
