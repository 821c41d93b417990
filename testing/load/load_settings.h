#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"

#include <string>
#include <vector>

// Settings of the load tool, from its command line. Value type.
struct load_settings
{
    std::vector<gooseberrymoor::endpoint> entries; // bootstrap entries for the directory
    std::string service;
    std::string shard; // empty: send queries; otherwise send requests to this shard
    std::string route; // empty: requests name no route
    bool idempotent = true; // of requests to `shard`
    bool checksBody = true; // expect bodies of the form "shard@snapshot:body"
    int callers = 1;
    double rate = 0; // requests per second of all callers; 0: closed loop
    gooseberrymoor::duration length {};
    gooseberrymoor::duration timeout {};
    bool json = false;
};
