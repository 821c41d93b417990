#pragma once

#include <cstdint>

namespace gooseberrymoor {

struct target_status;

// What hears of a target over its `control_connection`.
class control_connection_listener
{
public:
    virtual ~control_connection_listener() = default;

    // A health report came.
    virtual void onHealth(const target_status &status) = 0;

    // The target confirmed that request `which` runs no more.
    virtual void onStopped(std::uint64_t which) = 0;

    // No connection could be made.
    virtual void onUnreachable() = 0;
};

} // namespace gooseberrymoor
