#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

class cold_target_limiter;
class replica_set;
class replica_subset;
struct known_replica;

// Whether a node sends to a target, and if not or seldom, why.
enum class target_standing {
    preferred, // it holds connections to it
    for_need, // it holds connections to others of the service
    suspect, // it failed lately: others first
    cold, // another node is drawn to warm it, or its allowance is used up
    draining, // it leaves
    zone_out, // operators have taken its availability zone out
};

constexpr name_table<target_standing, 6> names(target_standing)
{
    return { { { target_standing::preferred, "preferred" },
               { target_standing::for_need, "for_need" },
               { target_standing::suspect, "suspect" },
               { target_standing::cold, "cold" },
               { target_standing::draining, "draining" },
               { target_standing::zone_out, "zone_out" } } };
}

// What decides the standing of a target.
struct standing_inputs
{
    const replica_set &replicas;
    const replica_subset &subset;
    const cold_target_limiter &cold;
};

// The standing of `target` at `now`; of several reasons the strongest.
target_standing standingOf(const known_replica &target, const standing_inputs &inputs,
                           time_point now);

} // namespace gooseberrymoor
