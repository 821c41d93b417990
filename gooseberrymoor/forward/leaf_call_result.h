#pragma once

#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/replica/attempt_outcome.h"
#include "gooseberrymoor/replica/load_report.h"
#include "gooseberrymoor/replica/reply_signals.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// The outcome of one request to a target, with the reply if there is one. Value type.
struct leaf_call_result
{
    attempt_outcome outcome = attempt_outcome::lost;
    std::string signature; // the target's signature of its reply; empty if absent
    std::optional<load_report> load;
    reply_signals signals;
    http_reply reply; // as sent by the target
    bool isMismatched = false; // the reply names the attempt of another request
    // Callers take the reply's status for a promise that the request has not run and never will.
    bool promisesNotRun = false;
};

} // namespace gooseberrymoor
