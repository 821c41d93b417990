#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string_view>

namespace gooseberrymoor {

// Whether this node may now send to a target as its only owner. Asked directly before each send.
class owner_permission
{
public:
    virtual ~owner_permission() = default;

    // `target` is "service/name".
    virtual bool mayStart(std::string_view target, time_point now) const = 0;
};

} // namespace gooseberrymoor
