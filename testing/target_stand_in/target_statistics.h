#pragma once

#include <map>
#include <string>

// Counts of what a target stand-in received and did, for GET /account. Value type.
struct target_statistics
{
    int maxRunning = 0;
    int maxActive = 0; // peak of running and waiting requests
    int maxConnections = 0;
    int refusedConnections = 0; // above the connection limit or while down
    int coldViolations = 0; // requests above the limit of a cold target
    int served = 0;
    int shed = 0;
    int drained = 0; // refused because the target is draining
    int cancelled = 0;
    int expired = 0; // stopped at their deadline
    int failed = 0;
    int silenced = 0; // requests whose connection was made to stall
    int restarts = 0;
    std::map<std::string, int> executionsByBody; // of non-idempotent requests

    // All counts as JSON, together with the instance id.
    std::string toJson(const std::string &instance) const;
};
