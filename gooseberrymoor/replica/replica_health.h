#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/replica/attempt_outcome.h"
#include "gooseberrymoor/replica/load_report.h"

#include <cstdint>
#include <map>
#include <optional>

namespace gooseberrymoor {

// What this node has seen of one target: what is outstanding there, how fast it answers, and
// whether it fails. Pure decision state: no clock, no sockets. Not thread-safe.
class replica_health
{
public:
    // A request was sent; returns its ticket for `onEnded`.
    std::uint64_t onSent(time_point now);

    // The request of `ticket` ended. `load` is what the target said beside its answer.
    void onEnded(std::uint64_t ticket, attempt_outcome ending, std::optional<load_report> load,
                 time_point now);

    // Requests sent and not ended.
    unsigned outstanding() const { return static_cast<unsigned>(m_sent.size()); }

    // How long the oldest outstanding request has been waiting; zero if there is none.
    duration oldestRequestAge(time_point now) const;

    // Average time to answer, in milliseconds; `otherwise` before the first answer. What was seen
    // long ago fades towards `otherwise`, so that a target that was slow is tried again.
    double latencyMs(double otherwise, time_point now) const;

    // The same average without fading; zero before the first answer.
    double averageLatencyMs() const { return m_latencyMs; }

    // Share of the recent requests that failed, in [0, 1]; fades with time.
    double failureRate(time_point now) const;

    // Requests waiting at the target by its own word; nothing if that is older than `longestAge`.
    std::optional<unsigned> reportedQueueLength(time_point now, duration longestAge) const;

    // Whether it failed lately, so that others are asked first.
    bool isSuspect(time_point now) const { return now < m_suspectUntil; }

private:
    void recordLatency(duration taken, time_point now);
    void recordFailure(time_point now);
    void recordOutcome(bool failed, time_point now);

    std::map<std::uint64_t, time_point> m_sent;
    std::uint64_t m_nextTicket = 1;
    double m_latencyMs = 0;
    time_point m_latencySeen {};
    load_report m_load;
    time_point m_loadSeen {};
    time_point m_suspectUntil {};
    unsigned m_failuresInARow = 0;
    double m_failureShare = 0;
    time_point m_outcomeSeen {};
};

} // namespace gooseberrymoor
