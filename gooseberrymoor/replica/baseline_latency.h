#pragma once

#include <string>

namespace gooseberrymoor {

class replica_set;

// Average latency of the fastest target of `service`, in milliseconds; a default if there is no
// sample yet. Uses the minimum because most of the targets may be slow at the same time.
double baselineLatencyMs(const replica_set &replicas, const std::string &service);

} // namespace gooseberrymoor
