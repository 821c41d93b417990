#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

// What the load tool is to do. Value type.
struct load_settings
{
    std::vector<gooseberrymoor::endpoint> entries; // asked for the directory
    std::string service;
    std::string shard; // empty: queries; else requests to this shard
    std::string route; // may be empty
    bool idempotent = true; // of requests to a shard
    bool checksBody = true; // the targets answer "shard@snapshot:body"
    int callers = 1;
    double rate = 0; // requests a second of all callers; 0: closed loop
    gooseberrymoor::duration length {};
    gooseberrymoor::duration timeout {};
    bool json = false;
};
