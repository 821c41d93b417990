#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <set>
#include <string>
#include <string_view>

// The behaviour of a target stand-in, from the section [target] of an INI file and, at run time,
// from POST /control. The comment of each value starts with the name of its setting. Shares are in
// permille. Value type.
struct target_settings
{
    gooseberrymoor::endpoint listen; // listen: address to serve; in the file only
    std::set<std::string> snapshots; // snapshots: names separated by commas
    int slots = 4; // slots: requests that run concurrently
    int queue = 8; // queue: requests that may wait for a slot; further ones are shed
    int latencyMs = 5; // latency_ms: run time of a request
    int connections = 0; // connections: maximum open connections; 0 for no limit
    int connectionCostMs = 0; // connection_cost_ms: delay of all answers per new connection
    int coldSlots
        = 0; // cold_slots: request limit while cold, beyond which it crashes; 0: never cold
    int warmupRequests = 0; // warmup_requests: requests to serve before it is warm
    int warmupMs = 0; // warmup_ms: time from the first request until it is warm
    int fallOverMs = 1000; // fall_over_ms: time it is down after an overload while cold
    int tellsCold = 1; // tells_cold: 1 if replies and health reports have the field "cold"
    int shedPermille = 0; // shed_permille: share of requests that it sheds
    int draining = 0; // draining: 1 if it refuses new requests
    int cancellation = 1; // cancellation: 1 if it accepts cancellations
    int deadlines = 1; // deadlines: 1 if it stops a request at its deadline
    int healthLagMs = 0; // health_lag_ms: age of the health reports it serves
    int healthLies = 0; // health_lies: 1 if health reports always show an idle, warm target
    int silentPermille = 0; // silent_permille: share of requests whose connection stalls
    int silentSwallows = 0; // silent_swallows: 1 if a request on a stalled connection is not run
    int stragglerPermille = 0; // straggler_permille: share of slow requests
    int stragglerMs = 300; // straggler_ms: latency of slow requests
    int seed = 1; // seed: of the random number generator
    int badFailurePermille = 0; // bad_failure_permille: share of requests that fail while degraded
    int badSlowdownMs = 0; // bad_slowdown_ms: added latency while degraded
    int badAfterRequests = 0; // bad_after_requests: requests served before it becomes degraded
    int badAboveRunning
        = 0; // bad_above_running: minimum of other running requests for it to be degraded
    std::string badRoute; // bad_route: the only route on which it is degraded; empty for all

    // Sets the setting `name`. Returns false if it is unknown or `text` is not a valid value.
    bool set(std::string_view name, const std::string &text);
};

// Reads a settings file. The error names the file, line and key.
tl::expected<target_settings, gooseberrymoor::settings_error>
readTargetSettings(const std::string &file);
