#pragma once

#include "gooseberrymoor/admission/leaf_result.h"
#include "gooseberrymoor/admission/target_status.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>

namespace gooseberrymoor {

// What a target said to one leaf request. Value type.
struct target_reply
{
    leaf_result result = leaf_result::answered;
    error_kind error = error_kind::none;
    verdict outcome = verdict::completed;
    target_status status; // empty if it said nothing of itself
    std::string snapshot;
    std::string body;
};

} // namespace gooseberrymoor
