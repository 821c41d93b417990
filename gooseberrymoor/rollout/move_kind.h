#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// What a planned move changes.
enum class move_kind {
    version, // traffic of one service goes from one version to another
    zone_out, // an availability zone leaves service
    zone_in, // an availability zone returns to service
};

constexpr name_table<move_kind, 3> names(move_kind)
{
    return { { { move_kind::version, "version" },
               { move_kind::zone_out, "zone_out" },
               { move_kind::zone_in, "zone_in" } } };
}

} // namespace gooseberrymoor
