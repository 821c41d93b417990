#pragma once

#include <string_view>

namespace gooseberrymoor {

// Writes `line` to `descriptor` if that does not block, and returns whether all of it was written.
// A line longer than PIPE_BUF is never written: a part of it could block. Safe to call from a
// signal handler; thread-safe.
bool writeWithoutBlocking(int descriptor, std::string_view line);

} // namespace gooseberrymoor
