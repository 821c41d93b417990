#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// Calendar time in milliseconds, for the times of moves in sheets and in the store and for the
// evidence windows that nodes share. Waits and deadlines use `millis_clock`.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Returns the current calendar time. Tests replace it.
using wall_clock = std::function<wall_time()>;

// The current time of the system clock.
wall_time wallNow();

// Parses an ISO 8601 date and time with "Z" or an offset, such as 2026-12-04T07:30:00+08:00.
// Seconds and milliseconds are optional. Returns nothing if `text` is malformed.
std::optional<wall_time> parseWallTime(std::string_view text);

// Formats the time in UTC as ISO 8601 with milliseconds. The inverse of `parseWallTime`.
std::string toString(wall_time value);

} // namespace gooseberrymoor
