#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/verdict.h"

#include <string>

// What one caller saw of one request. Value type.
struct caller_record
{
    std::string entry; // address that was asked
    std::string body; // unique to the request
    bool idempotent = true;
    gooseberrymoor::time_point sent;
    gooseberrymoor::time_point ended;
    unsigned status = 0; // 0: no answer came
    gooseberrymoor::verdict outcome = gooseberrymoor::verdict::may_have_run;
    std::string reply;
};
