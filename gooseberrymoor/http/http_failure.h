#pragma once

#include "gooseberrymoor/base/verdict.h"

#include <string>

namespace gooseberrymoor {

// Why an HTTP exchange has no answer. `outcome` is `not_run` only if no byte of the request left.
struct http_failure
{
    verdict outcome = verdict::not_run;
    bool timedOut = false;
    std::string reason;
};

} // namespace gooseberrymoor
