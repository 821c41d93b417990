#pragma once

#include <string_view>

namespace gooseberrymoor {

// What this node has sent to the targets it owns, or owned.
class owned_work
{
public:
    virtual ~owned_work() = default;

    // Whether a request that this node sent to `target` ("service/name") may still run there.
    virtual bool mayStillRun(std::string_view target) const = 0;
};

} // namespace gooseberrymoor
