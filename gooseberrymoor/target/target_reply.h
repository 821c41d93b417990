#pragma once

#include "gooseberrymoor/admission/target_admission.h"
#include "gooseberrymoor/base/request_error.h"

#include <string>

namespace gooseberrymoor {

// What a target said to one leaf request. Value type.
struct target_reply
{
    leaf_result result = leaf_result::answered;
    error_kind error = error_kind::none;
    verdict outcome = verdict::completed;
    std::string instance; // identity of the back-end process; empty if it said none
    std::string snapshot;
    std::string body;
    bool draining = false;
};

} // namespace gooseberrymoor
