#pragma once

#include <map>
#include <string>

// What a target stand-in was given. Value type.
struct target_statistics
{
    int mostRunning = 0;
    int maxActive = 0; // running and waiting
    int mostConnections = 0;
    int refusedConnections = 0; // above its limit, or while it was gone
    int coldViolations = 0; // requests above what it bears while cold
    int served = 0;
    int shed = 0;
    int drained = 0; // refused because it drains
    int cancelled = 0;
    int expired = 0; // stopped at their deadline
    int failed = 0;
    int silenced = 0; // requests at which their connection went silent
    int restarts = 0;
    std::map<std::string, int> executionsByBody; // of requests that are not idempotent

    // All counts as JSON, with the identity of the process.
    std::string toJson(const std::string &instance) const;
};
