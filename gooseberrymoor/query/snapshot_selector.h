#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct service_config;
struct snapshot_config;

// Remembers which snapshots were found missing at the targets, so that not every query has to
// find out by itself. Not thread-safe.
class snapshot_selector
{
public:
    // The snapshot that a query for `shards` (empty: all) begins with: the newest that has them
    // and was not found missing lately; else the newest. Null if the service has none.
    const snapshot_config *choose(const service_config &service,
                                  const std::vector<std::string> &shards, time_point now) const;

    // What to ask instead of `missing`: the newest other snapshot that has `shards` and was not
    // found missing lately; null if there is none.
    const snapshot_config *chooseOther(const service_config &service,
                                       const std::vector<std::string> &shards,
                                       const std::string &missing, time_point now) const;

    // Targets lack `snapshot` of `service`.
    void markMissing(const std::string &service, const std::string &snapshot, time_point now);

private:
    bool isMissing(const std::string &service, const std::string &snapshot, time_point now) const;

    std::map<std::string, std::map<std::string, time_point>> m_missingUntil; // service, snapshot
};

} // namespace gooseberrymoor
