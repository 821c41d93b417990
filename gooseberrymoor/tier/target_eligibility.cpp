#include "gooseberrymoor/tier/target_eligibility.h"

#include "gooseberrymoor/replica/cold_target_limiter.h"
#include "gooseberrymoor/replica/replica_set.h"
#include "gooseberrymoor/replica/replica_subset.h"

namespace gooseberrymoor {

target_eligibility eligibilityOf(const known_replica &target, const eligibility_inputs &inputs,
                                 time_point now)
{
    if (target.entry.draining)
        return target_eligibility::draining;
    if (target.backpressure.isLeaving())
        return target_eligibility::leaving;
    if (!inputs.replicas.isEligible(target))
        return target_eligibility::zone_out;
    if (target.backpressure.isBackingOff(now))
        return target_eligibility::backing_off;
    if (!inputs.coldLimiter.maySendNow(target, now))
        return target_eligibility::cold;
    if (target.health.isSuspect(now))
        return target_eligibility::suspect;
    if (!inputs.subset.holds(target))
        return target_eligibility::fallback;
    return target_eligibility::preferred;
}

} // namespace gooseberrymoor
