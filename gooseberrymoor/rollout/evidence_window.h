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

// Routes that a node counts separately for one service in one window; all others are counted
// under `other_routes_name`.
constexpr std::size_t max_routes = 32;
// Rows that a node keeps in one window and accepts from a peer.
constexpr std::size_t max_evidence_rows = 4096;
constexpr std::size_t max_name_bytes = 128;

constexpr const char *other_routes_name = "(other)";

// What the counts of one row belong to. Value type.
struct evidence_key
{
    std::string service;
    std::string route;
    std::string version;
    std::string target; // empty if unknown, or if the window had too many rows to separate targets

    auto operator<=>(const evidence_key &) const = default;
};

// The counts of one node in one window. Value type.
struct evidence_window
{
    std::int64_t index = 0; // see `windowOf`
    std::map<evidence_key, version_counts> rows;

    bool operator==(const evidence_window &) const = default;
};

// The index of the window that contains `time`.
constexpr std::int64_t windowOf(wall_time time)
{
    return time.time_since_epoch() / evidence_window_length;
}

} // namespace gooseberrymoor
