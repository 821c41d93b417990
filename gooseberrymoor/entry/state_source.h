#pragma once

#include <string>

namespace gooseberrymoor {

// Shows the state of the process to operators.
class state_source
{
public:
    virtual ~state_source() = default;

    // The whole state as one JSON document.
    virtual std::string dump() const = 0;

    // Counters and latencies in the Prometheus text format.
    virtual std::string metrics() const = 0;
};

} // namespace gooseberrymoor
