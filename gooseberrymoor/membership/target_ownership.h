#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string_view>

namespace gooseberrymoor {

// Tells which targets this node owns and whether it may send requests to them.
class target_ownership
{
public:
    virtual ~target_ownership() = default;

    // Returns whether this node is the owner of `target` ("service/name") in the newest view.
    virtual bool isOwner(std::string_view target) const = 0;

    // Returns whether this node may send to `target` at `now`: it is the owner, its lease is valid,
    // and no request of an earlier owner can still run. To be checked directly before each send.
    virtual bool maySend(std::string_view target, time_point now) const = 0;
};

} // namespace gooseberrymoor
