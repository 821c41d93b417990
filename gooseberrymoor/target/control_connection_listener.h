#pragma once

#include <cstdint>

namespace gooseberrymoor {

struct target_status;

// Receives the events of the `control_connection` to one target.
class control_connection_listener
{
public:
    virtual ~control_connection_listener() = default;

    // A health report was received.
    virtual void onHealth(const target_status &status) = 0;

    // The target confirmed that request `requestId` is stopped.
    virtual void onStopped(std::uint64_t requestId) = 0;

    // The control connection could not be opened.
    virtual void onUnreachable() = 0;
};

} // namespace gooseberrymoor
