#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/verdict.h"

#include <string>

// One request of a caller and its outcome. Value type.
struct caller_record
{
    std::string entry; // address of the entry that received it
    std::string body; // unique to the request
    bool idempotent = true;
    gooseberrymoor::time_point sent;
    gooseberrymoor::time_point ended;
    unsigned status = 0; // 0 if there was no answer
    gooseberrymoor::verdict outcome = gooseberrymoor::verdict::may_have_run;
    std::string reply;
};
