#pragma once

#include "gooseberrymoor/rollout/move_kind.h"
#include "gooseberrymoor/rollout/wall_time.h"

#include <string>

namespace gooseberrymoor {

// One row of the planners' sheet. Value type.
struct planned_move
{
    std::string id; // follows from the other members, see `moveIdOf`
    std::string service; // empty for availability zones, which all services share
    move_kind kind = move_kind::version;
    std::string from; // version, or the availability zone that leaves
    std::string to; // version, or the availability zone that returns
    wall_time begin {};
    wall_time finishBy {};

    // The availability zone that leaves or returns.
    const std::string &zone() const { return kind == move_kind::zone_out ? from : to; }

    bool operator==(const planned_move &) const = default;
};

// Whether both change the versions of one service, or the same availability zone.
bool affectSameResource(const planned_move &a, const planned_move &b);

// The identity of a move: the same for the same row in every sheet, 16 hexadecimal digits.
std::string moveIdOf(const planned_move &move);

} // namespace gooseberrymoor
