#pragma once

namespace gooseberrymoor {

// Load that a target reports with a response. Value type.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0; // queue length
    unsigned slots = 0;
};

} // namespace gooseberrymoor
