#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

class cold_target_limiter;
class replica_set;
class replica_subset;
struct known_replica;

// Whether a node sends requests to a target, or the reason why it avoids the target.
enum class target_eligibility {
    preferred, // the node keeps connections to it open
    fallback, // the node keeps connections to other targets and uses this one if they fail
    suspect, // failed recently; other targets are tried first
    cold, // another node is assigned to warm it up, or its rate limit is reached
    draining, // the target is leaving the service, by its entry
    leaving, // the target said in a reply that it is leaving
    backing_off, // the target asked in a reply for no requests for a while
    zone_out, // operators have taken its availability zone out of service
};

constexpr name_table<target_eligibility, 8> names(target_eligibility)
{
    return { { { target_eligibility::preferred, "preferred" },
               { target_eligibility::fallback, "for_need" },
               { target_eligibility::suspect, "suspect" },
               { target_eligibility::cold, "cold" },
               { target_eligibility::draining, "draining" },
               { target_eligibility::leaving, "leaving" },
               { target_eligibility::backing_off, "backing_off" },
               { target_eligibility::zone_out, "zone_out" } } };
}

// The state that determines the eligibility of a target.
struct eligibility_inputs
{
    const replica_set &replicas;
    const replica_subset &subset;
    const cold_target_limiter &coldLimiter;
};

// The eligibility of `target` at `now`. If several reasons apply, returns the most restrictive one.
target_eligibility eligibilityOf(const known_replica &target, const eligibility_inputs &inputs,
                                 time_point now);

} // namespace gooseberrymoor
