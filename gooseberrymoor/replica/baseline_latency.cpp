#include "gooseberrymoor/replica/baseline_latency.h"

#include "gooseberrymoor/replica/replica_set.h"

namespace gooseberrymoor {

namespace {

constexpr double default_latency_ms = 20;

} // namespace

double baselineLatencyMs(const replica_set &replicas, const std::string &service)
{
    double fastest = 0;
    for (const auto &each : replicas.of(service)) {
        const double latency = each->health.averageLatencyMs();
        if (latency > 0 && (fastest == 0 || latency < fastest))
            fastest = latency;
    }
    return fastest == 0 ? default_latency_ms : fastest;
}

} // namespace gooseberrymoor
