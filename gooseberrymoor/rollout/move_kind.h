#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The kind of change that a planned move makes.
enum class move_kind {
    version, // moves the traffic of one service from one version to another
    zone_out, // takes an availability zone out of service
    zone_in, // returns an availability zone to service
};

constexpr name_table<move_kind, 3> names(move_kind)
{
    return { { { move_kind::version, "version" },
               { move_kind::zone_out, "zone_out" },
               { move_kind::zone_in, "zone_in" } } };
}

} // namespace gooseberrymoor
