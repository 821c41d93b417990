#pragma once

namespace gooseberrymoor {

// What a target says of its own load beside an answer. Value type.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

} // namespace gooseberrymoor
