#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <set>
#include <string>
#include <string_view>

// How a target stand-in behaves, from the section [target] of an INI file, and from JSON at run
// time. Each value is called by the name in its comment. Shares are in permille. Value type.
struct target_settings
{
    gooseberrymoor::endpoint listen; // listen, in the file only
    std::set<std::string> snapshots; // snapshots, separated by commas
    int slots = 4; // slots: requests at one time
    int queue = 8; // queue: requests that wait; more are shed
    int latencyMs = 5; // latency_ms: time to answer
    int connections = 0; // connections: most that may be open; 0 for no limit
    int connectionCostMs = 0; // connection_cost_ms: for which a new one holds up all answers
    int coldSlots
        = 0; // cold_slots: requests that a cold target bears; 0 for one that is never cold
    int warmupRequests = 0; // warmup_requests: served until it is warm
    int warmupMs = 0; // warmup_ms: time from the first request until it is warm
    int fallOverMs = 1000; // fall_over_ms: time for which it is gone after a cold overload
    int tellsCold = 1; // tells_cold: 1 if replies and health reports say whether it is cold
    int shedPermille = 0; // shed_permille: share of requests that it sheds
    int draining = 0; // draining: 1 if it takes no new work
    int cancellation = 1; // cancellation: 1 if it accepts cancellations
    int deadlines = 1; // deadlines: 1 if it stops at the deadline of a request
    int healthLagMs = 0; // health_lag_ms: age of what its health reports say
    int healthLies = 0; // health_lies: 1 if they always say that all is well
    int silentPermille
        = 0; // silent_permille: share of requests at which their connection goes silent
    int silentSwallows = 0; // silent_swallows: 1 if such a request does not run
    int stragglerPermille = 0; // straggler_permille: share of slow answers
    int stragglerMs = 300; // straggler_ms: their latency
    int seed = 1; // seed: of all chances
    int badFailurePermille = 0; // bad_failure_permille: share of answers that are failures
    int badSlowdownMs = 0; // bad_slowdown_ms: added to the latency
    int badAfterRequests = 0; // bad_after_requests: served before it turns bad
    int badAboveRunning
        = 0; // bad_above_running: it is bad while at least these run beside the request
    std::string badRoute; // bad_route: the only route on which it is bad; empty for all

    // Sets the value called `name`; false if there is none or `text` does not fit it.
    bool set(std::string_view name, const std::string &text);
};

// Reads a settings file; the error says what is at fault.
tl::expected<target_settings, gooseberrymoor::settings_error>
readTargetSettings(const std::string &file);
