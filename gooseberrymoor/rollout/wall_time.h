#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrymoor {

// Calendar time in milliseconds, as planners write it and as moves keep it in the store. Waits and
// deadlines use `millis_clock`; this time only says when a planned move begins and ends.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Where the present calendar time comes from; tests bring their own.
using wall_clock = std::function<wall_time()>;

// The present calendar time of this VM.
wall_time wallNow();

// Reads ISO 8601 with a date, a time and "Z" or an offset, such as 2026-12-04T07:30:00+08:00;
// seconds and milliseconds may be left out. Nothing if it is no such time.
std::optional<wall_time> parseWallTime(std::string_view text);

// The time in UTC as ISO 8601 with milliseconds; the inverse of `parseWallTime`.
std::string toString(wall_time value);

} // namespace gooseberrymoor
