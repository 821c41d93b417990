#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrymoor {

// Each latency bucket is 25% wider than the one before. The first starts at 1 ms, the last at about
// 36 s.
constexpr std::size_t latency_buckets = 48;

// The bucket that counts `latency`.
std::size_t latencyBucketOf(duration latency);

// Outcomes of the leaf requests of one row of an `evidence_window`. Value type.
struct version_counts
{
    std::uint32_t answers = 0;
    std::uint32_t failed = 0; // the target answered with an error
    std::uint32_t malformed = 0; // the answer could not be parsed
    std::uint32_t timedOut = 0;
    std::uint32_t lost = 0; // the connection to the target broke
    // Latencies of answered, timed out and cancelled requests.
    std::array<std::uint32_t, latency_buckets> latency {};

    // Counts one leaf request. Ignores requests that no target ran, and requests that a target
    // shed: a target in a cold start sheds too, so neither tells anything about the version.
    // A cancelled request counts as a latency of at least `latency`; otherwise hedging would hide a
    // slow version.
    void add(error_kind error, duration latency);

    // Adds the counts of `other`.
    void merge(const version_counts &other);

    // Leaf requests that ended with an answer or with an error attributed to the version.
    std::uint32_t ended() const { return answers + failed + malformed + timedOut + lost; }

    // Number of latencies in all buckets.
    std::uint32_t latencySamples() const;

    bool operator==(const version_counts &) const = default;
};

} // namespace gooseberrymoor
