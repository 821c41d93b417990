#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/replica/attempt_outcome.h"
#include "gooseberrymoor/replica/load_report.h"

#include <cstdint>
#include <map>
#include <optional>

namespace gooseberrymoor {

// Health of one target as observed by this node: outstanding requests, latency and failures.
// Pure state without clock or I/O. Not thread-safe.
class replica_health
{
public:
    // Records a sent request; returns a ticket to pass to `onEnded`.
    std::uint64_t onSent(time_point now);

    // Records the outcome of the request identified by `ticket`, and the load that the target
    // reported with its response, if any.
    void onEnded(std::uint64_t ticket, attempt_outcome outcome, std::optional<load_report> load,
                 time_point now);

    // Number of requests without an outcome.
    unsigned outstanding() const { return static_cast<unsigned>(m_sent.size()); }

    // Age of the oldest outstanding request; zero if there is none.
    duration oldestRequestAge(time_point now) const;

    // Moving average of the response latency, decaying towards `fallbackMs` with the age of the
    // last sample, so that a target that was slow is tried again. `fallbackMs` if there is no
    // sample.
    double latencyMs(double fallbackMs, time_point now) const;

    // The moving average without decay; zero if there is no sample.
    double averageLatencyMs() const { return m_latencyMs; }

    // Fraction of recent requests that failed, in [0, 1]; decays over time.
    double failureRate(time_point now) const;

    // Queue length that the target last reported, unless that is older than `maxAge`.
    std::optional<unsigned> reportedQueueLength(time_point now, duration maxAge) const;

    // Whether the target failed recently, so that other targets are preferred.
    bool isSuspect(time_point now) const { return now < m_suspectUntil; }

private:
    void recordLatency(duration taken, time_point now);
    void recordFailure(time_point now);
    void recordOutcome(bool failed, time_point now);

    std::map<std::uint64_t, time_point> m_sent;
    std::uint64_t m_nextTicket = 1;
    double m_latencyMs = 0;
    time_point m_latencyUpdatedAt {};
    load_report m_load;
    time_point m_loadReportedAt {};
    time_point m_suspectUntil {};
    unsigned m_consecutiveFailures = 0;
    double m_failureRate = 0;
    time_point m_outcomeRecordedAt {};
};

} // namespace gooseberrymoor
