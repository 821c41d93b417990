#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/settings/settings_error.h"

#include <tl/expected.hpp>

#include <set>
#include <string>

// How a target stand-in behaves, from the section [target] of an INI file. Value type.
struct target_settings
{
    gooseberrymoor::endpoint listen; // listen
    std::set<std::string> snapshots; // snapshots, separated by commas
    int slots = 4; // slots: requests at one time
    int queue = 8; // queue: requests that wait; more are shed
    gooseberrymoor::duration latency { 5 }; // latency_ms: time to answer
};

// Reads a settings file; the error says what is at fault.
tl::expected<target_settings, gooseberrymoor::settings_error>
readTargetSettings(const std::string &file);
