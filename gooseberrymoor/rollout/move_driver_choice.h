#pragma once

#include <string>

namespace gooseberrymoor {

struct cell_view;
struct planned_move;

// The name of the member of `view` that drives the moves of `service`; empty if there is none.
// The empty service stands for moves of availability zones. Two nodes with different views may
// both believe that they are chosen: that only costs a lost compare-and-swap.
std::string driverOf(const cell_view &view, const std::string &service);

} // namespace gooseberrymoor
