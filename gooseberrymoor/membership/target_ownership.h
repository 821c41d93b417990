#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string_view>

namespace gooseberrymoor {

// Which targets are this node's, and whether it may send to them now.
class target_ownership
{
public:
    virtual ~target_ownership() = default;

    // Whether the newest view names this node as the owner of `target` ("service/name").
    virtual bool isOwner(std::string_view target) const = 0;

    // Whether this node may send to `target` at `now`: it is the owner, its lease holds, and
    // nothing of an earlier owner can run. Asked directly before each send.
    virtual bool maySend(std::string_view target, time_point now) const = 0;
};

} // namespace gooseberrymoor
