#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

constexpr std::size_t record_bytes = 16;

// The greatest `most` records of `parts`, greatest first, compared byte by byte; equal records
// all count. A remainder shorter than a record is none.
std::string largestRecords(const std::vector<std::string> &parts, std::size_t most);

} // namespace gooseberrymoor
