#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/forward/forward_status.h"
#include "gooseberrymoor/http/http_message.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What a caller is told. Value type; which fields count depends on `status`.
struct forward_result
{
    forward_status status = forward_status::refused;
    http_reply reply; // passed_through
    std::vector<std::string> signatures; // merged: of the parts that are in
    std::size_t missingParts = 0; // merged
    std::string records; // merged
    duration retryAfter { 0 }; // refused: when to come back
};

} // namespace gooseberrymoor
