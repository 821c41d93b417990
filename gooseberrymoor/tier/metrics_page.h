#pragma once

#include <string>

namespace gooseberrymoor {

class counters;
class query_tier;

// The node's metrics in the text format that collectors read: counters as "..._total", gauges, and
// latencies in milliseconds as quantiles. Names begin with "gooseberrymoor_".
std::string metricsPage(const query_tier &tier, const counters &events);

} // namespace gooseberrymoor
