#pragma once

#include <string>

namespace gooseberrymoor {

class counters;
class fleet_node;

// Returns the node's metrics in the Prometheus text format: counters with the suffix "_total",
// gauges, and quantiles of latencies in milliseconds. Names begin with "gooseberrymoor_".
std::string metricsPage(const fleet_node &tier, const counters &counters);

} // namespace gooseberrymoor
