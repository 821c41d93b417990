#pragma once

#include "gooseberrymoor/admission/leaf_result.h"
#include "gooseberrymoor/admission/target_status.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>

namespace gooseberrymoor {

// A target's decoded reply to one leaf request. Value type.
struct target_reply
{
    leaf_result result = leaf_result::answered;
    error_kind error = error_kind::none;
    verdict outcome = verdict::completed;
    target_status status; // empty if the reply reports no status
    std::string snapshot;
    std::string body;
};

} // namespace gooseberrymoor
