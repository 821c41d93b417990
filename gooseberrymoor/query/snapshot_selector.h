#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct service_config;
struct snapshot_config;

// Chooses the snapshot that a query reads. Remembers for a short time which snapshots targets
// lacked, so that not every query has to discover it. Not thread-safe.
class snapshot_selector
{
public:
    // Returns the snapshot that a query for `shards` (empty: all) starts on: the newest one or, if
    // targets lacked it recently, its fallback if there is one. Returns null if the service has no
    // snapshot.
    const snapshot_config *choose(const service_config &service,
                                  const std::vector<std::string> &shards, time_point now) const;

    // Returns the newest snapshot other than `unavailable` that contains `shards` and that targets
    // did not lack recently; null if there is none.
    const snapshot_config *chooseFallback(const service_config &service,
                                          const std::vector<std::string> &shards,
                                          const std::string &unavailable, time_point now) const;

    // Records that targets lack `snapshot` of `service`.
    void markUnavailable(const std::string &service, const std::string &snapshot, time_point now);

private:
    bool isUnavailable(const std::string &service, const std::string &snapshot,
                       time_point now) const;

    std::map<std::string, std::map<std::string, time_point>>
        m_unavailableUntil; // by service and snapshot
};

} // namespace gooseberrymoor
