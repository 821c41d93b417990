#pragma once

#include "gooseberrymoor/replica/replica_selector.h"

#include <string>

namespace gooseberrymoor {

class replica_set;
class cold_target_limiter;
class replica_subset;

// Selects the target with the shortest expected wait, which is the sum of:
// - the recent latency, scaled by the requests that are outstanding or queued per slot;
// - the same latency for each request ahead on the connections that this node may use;
// - small costs of opening a connection, of another availability zone, and in proportion to the
//   failure rate;
// - large penalties if the oldest outstanding request is overdue and if the target recently failed.
// Not thread-safe.
class expected_wait_selector : public replica_selector
{
public:
    // `replicas`, `subset` and `coldLimiter` must outlive the selector.
    expected_wait_selector(const replica_set &replicas, const replica_subset &subset,
                           cold_target_limiter &coldLimiter, std::string ownZone);

    std::shared_ptr<known_replica> choose(const std::string &service,
                                          const std::set<std::string> &excluded,
                                          time_point now) override;

    time_point availableAt(const std::string &service, time_point now) const override;

private:
    double expectedWaitMs(const known_replica &target, double baselineMs, time_point now) const;

    const replica_set &m_replicas;
    const replica_subset &m_subset;
    cold_target_limiter &m_coldLimiter;
    std::string m_ownZone;
};

} // namespace gooseberrymoor
