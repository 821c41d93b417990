#pragma once

#include "gooseberrymoor/base/endpoint.h"

#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// The entry addresses offered to callers: those of members that are not leaving and whose
// availability zone is not in `zonesOut`, sorted by member name.
std::vector<endpoint> entryAddresses(const cell_view &view, const std::set<std::string> &zonesOut);

} // namespace gooseberrymoor
