#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

class cold_target_limiter;
class replica_set;
class replica_subset;
struct known_replica;

// Whether a node sends to a target, and if not or seldom, why.
enum class target_eligibility {
    preferred, // it holds connections to it
    fallback, // it holds connections to others of the service
    suspect, // it failed lately: others first
    cold, // another node is drawn to warm it, or its allowance is used up
    draining, // it leaves
    zone_out, // operators have taken its availability zone out
};

constexpr name_table<target_eligibility, 6> names(target_eligibility)
{
    return { { { target_eligibility::preferred, "preferred" },
               { target_eligibility::fallback, "for_need" },
               { target_eligibility::suspect, "suspect" },
               { target_eligibility::cold, "cold" },
               { target_eligibility::draining, "draining" },
               { target_eligibility::zone_out, "zone_out" } } };
}

// What decides the standing of a target.
struct eligibility_inputs
{
    const replica_set &replicas;
    const replica_subset &subset;
    const cold_target_limiter &cold;
};

// The standing of `target` at `now`; of several reasons the strongest.
target_eligibility eligibilityOf(const known_replica &target, const eligibility_inputs &inputs,
                                 time_point now);

} // namespace gooseberrymoor
