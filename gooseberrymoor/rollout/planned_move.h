#pragma once

#include "gooseberrymoor/rollout/move_kind.h"
#include "gooseberrymoor/rollout/wall_time.h"

#include <string>

namespace gooseberrymoor {

// A move as planned by one row of the planners' sheet. Value type.
struct planned_move
{
    std::string id; // derived from the other members, see `moveIdOf`
    std::string service; // empty for availability zone moves, which affect all services
    move_kind kind = move_kind::version;
    std::string from; // old version, or the availability zone that leaves
    std::string to; // new version, or the availability zone that returns
    wall_time begin {};
    wall_time finishBy {};

    // The availability zone that leaves or returns.
    const std::string &zone() const { return kind == move_kind::zone_out ? from : to; }

    bool operator==(const planned_move &) const = default;
};

// Whether both moves change the versions of the same service, or the same availability zone.
bool affectSameResource(const planned_move &a, const planned_move &b);

// The id of a move: a hash of its other members as 16 hexadecimal digits, so that the same row has
// the same id in every sheet.
std::string moveIdOf(const planned_move &move);

} // namespace gooseberrymoor
