#include "gooseberrymoor/tier/target_standing.h"

#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"

namespace gooseberrymoor {

target_standing standingOf(const known_replica &target, const standing_inputs &inputs,
                           time_point now)
{
    if (target.entry.draining)
        return target_standing::draining;
    if (!inputs.replicas.isEligible(target))
        return target_standing::zone_out;
    if (!inputs.cold.isEligible(target, now))
        return target_standing::cold;
    if (target.health.isSuspect(now))
        return target_standing::suspect;
    if (!inputs.subset.holds(target))
        return target_standing::for_need;
    return target_standing::preferred;
}

} // namespace gooseberrymoor
