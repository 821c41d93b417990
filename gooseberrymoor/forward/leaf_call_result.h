#pragma once

#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/replica/attempt_outcome.h"
#include "gooseberrymoor/replica/load_report.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// How one request at a target ended, with the reply if there is one. Value type.
struct leaf_call_result
{
    attempt_outcome ending = attempt_outcome::lost;
    std::string signature; // the target's, over its reply; empty if it gave none
    std::optional<load_report> load;
    http_reply reply; // as the target sent it
    bool isMismatched = false; // the reply belongs to another request
};

} // namespace gooseberrymoor
