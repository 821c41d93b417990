#pragma once

#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/replica/load_report.h"
#include "gooseberrymoor/replica/replica_ending.h"

#include <optional>
#include <string>

namespace gooseberrymoor {

// How one request at a target ended, with the reply if there is one. Value type.
struct leaf_answer
{
    replica_ending ending = replica_ending::lost;
    std::string signature; // the target's, over its reply; empty if it gave none
    std::optional<load_report> load;
    http_reply reply; // as the target sent it
    bool isForeign = false; // the reply belongs to another request
};

} // namespace gooseberrymoor
