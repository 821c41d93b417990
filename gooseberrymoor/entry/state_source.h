#pragma once

#include <string>

namespace gooseberrymoor {

// Provides the state of the process for operators.
class state_source
{
public:
    virtual ~state_source() = default;

    // The complete state as a JSON document.
    virtual std::string dump() const = 0;

    // Counters and latencies in the Prometheus text format.
    virtual std::string metrics() const = 0;
};

} // namespace gooseberrymoor
