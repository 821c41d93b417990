#pragma once

#include "gooseberrymoor/base/verdict.h"

#include <string>

namespace gooseberrymoor {

// Why an HTTP exchange failed. `outcome` is `not_run` only if no byte of the request was sent.
struct http_failure
{
    verdict outcome = verdict::not_run;
    bool timedOut = false;
    std::string reason;
    bool isTooLarge = false; // the reply exceeded a limit of its size
};

} // namespace gooseberrymoor
