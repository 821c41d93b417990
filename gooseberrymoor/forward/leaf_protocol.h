#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/forward/leaf_call_result.h"
#include "gooseberrymoor/http/http_message.h"

#include <string>

namespace gooseberrymoor {

struct caller_request;
struct replica;

// Encodes requests to targets and decodes their replies. Stateless; thread-safe.
class leaf_protocol
{
public:
    virtual ~leaf_protocol() = default;

    // Encodes `request` for `target`, which has `timeLeft` to process it.
    virtual http_request encode(const caller_request &request, const replica &target,
                                duration timeLeft) const = 0;

    // Decodes the reply to the request with the id `attemptId`.
    virtual leaf_call_result decode(http_reply reply, const std::string &attemptId) const = 0;
};

} // namespace gooseberrymoor
