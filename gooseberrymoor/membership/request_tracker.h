#pragma once

#include <string_view>

namespace gooseberrymoor {

// What this node has sent to the targets it owns, or owned.
class request_tracker
{
public:
    virtual ~request_tracker() = default;

    // Whether a request that this node sent to `target` ("service/name") may still run there.
    virtual bool mayHaveRunningRequests(std::string_view target) const = 0;
};

} // namespace gooseberrymoor
