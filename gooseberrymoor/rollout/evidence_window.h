#pragma once

#include "gooseberrymoor/rollout/version_counts.h"
#include "gooseberrymoor/rollout/wall_time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace gooseberrymoor {

constexpr std::chrono::milliseconds evidence_window_length { 5000 };

// Routes that a node keeps apart for one service in one window; the others share one name.
constexpr std::size_t max_routes = 32;
// Rows of one window that a node keeps and takes from a peer.
constexpr std::size_t max_evidence_rows = 4096;
constexpr std::size_t max_name_bytes = 128;

// Name under which all routes beyond `max_routes` are counted.
constexpr const char *other_routes_name = "(other)";

// Which target of which version of which service was asked on which route. Value type.
struct evidence_key
{
    std::string service;
    std::string route;
    std::string version;
    std::string target; // empty: unknown, or of a window with too many rows

    auto operator<=>(const evidence_key &) const = default;
};

// What one node counted within one window. Value type.
struct evidence_window
{
    std::int64_t index = 0; // see `windowOf`
    std::map<evidence_key, version_counts> rows;

    bool operator==(const evidence_window &) const = default;
};

// The window that `time` lies in.
constexpr std::int64_t windowOf(wall_time time)
{
    return time.time_since_epoch() / evidence_window_length;
}

} // namespace gooseberrymoor
