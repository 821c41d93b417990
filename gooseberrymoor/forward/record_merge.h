#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

constexpr std::size_t record_bytes = 16;

// Returns the `limit` largest records of all `parts` in descending order, compared as unsigned
// bytes. Duplicates are kept. A trailing incomplete record of a part is ignored.
std::string largestRecords(const std::vector<std::string> &parts, std::size_t limit);

} // namespace gooseberrymoor
