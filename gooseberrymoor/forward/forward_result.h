#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/forward/forward_status.h"
#include "gooseberrymoor/http/http_message.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The result of a caller's request. Value type; `status` determines which fields are set.
struct forward_result
{
    forward_status status = forward_status::refused;
    http_reply reply; // passed_through
    std::vector<std::string> signatures; // merged: signatures of the included parts
    std::size_t missingParts = 0; // merged
    std::string records; // merged
    duration retryAfter { 0 }; // refused: suggested delay before a retry
};

} // namespace gooseberrymoor
