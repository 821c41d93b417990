#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberrymoor {

// Latency buckets grow by a quarter each from 1 ms: the last one begins at about 45 s.
constexpr std::size_t latency_buckets = 48;

// The bucket that counts `latency`.
std::size_t latencyBucketOf(duration latency);

// How the leaf requests of one version on one route ended within one window. Value type.
struct version_counts
{
    std::uint32_t answers = 0;
    std::uint32_t failed = 0; // the target said that it failed
    std::uint32_t malformed = 0; // its answer could not be read
    std::uint32_t timedOut = 0;
    std::uint32_t lost = 0; // the connection to the target broke
    std::array<std::uint32_t, latency_buckets> latency {}; // of answers and cancelled requests

    // Counts one leaf request. What says nothing about the version is passed over: requests that
    // no target ran, and those that a target shed, for a target in a cold start sheds too.
    // A cancelled request counts only as one that took at least so long: else hedges would hide
    // a version that is slow.
    void add(error_kind error, duration latency);

    // Adds the counts of `other`.
    void merge(const version_counts &other);

    // Leaf requests that ended in an answer or an error of the version.
    std::uint32_t ended() const { return answers + failed + malformed + timedOut + lost; }

    // Latencies that were counted.
    std::uint32_t timed() const;

    bool operator==(const version_counts &) const = default;
};

} // namespace gooseberrymoor
