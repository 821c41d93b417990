#pragma once

#include <string>

namespace gooseberrymoor {

class replica_set;

// How long the fastest target of `service` takes to answer, in milliseconds; a guess before the
// first answer. The fastest, since most of the others may be slow at the same time.
double baselineLatencyMs(const replica_set &replicas, const std::string &service);

} // namespace gooseberrymoor
