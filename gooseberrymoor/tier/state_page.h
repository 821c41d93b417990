#pragma once

#include "gooseberrymoor/base/millis_clock.h"

#include <string>

namespace gooseberrymoor {

class fleet_node;

// Returns the node's state at `now` for troubleshooting by operators and tools. A JSON object with
// the fields "node", "configuration", "store" (revision and age of the copy of each prefix),
// "nodes" and "targets" (each with its eligibility as "standing"). Times are in milliseconds.
std::string statePage(const fleet_node &tier, time_point now);

} // namespace gooseberrymoor
