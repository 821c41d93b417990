#pragma once

#include <string>

namespace gooseberrymoor {

struct cell_view;
struct planned_move;

// The name of the member of `view` that drives the moves of `service`, or an empty string if there
// is none. An empty `service` stands for availability zone moves. Nodes with different views may
// choose different drivers; this is safe, because a driver's step is a compare-and-swap and only
// one succeeds.
std::string driverOf(const cell_view &view, const std::string &service);

} // namespace gooseberrymoor
