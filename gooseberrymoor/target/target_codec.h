#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/target/target_reply.h"

#include <optional>

namespace gooseberrymoor {

struct leaf_request;

// The HTTP request that carries `request` to a target; `timeout` is the time it may still take.
http_request encodeTargetRequest(const leaf_request &request, const std::string &id,
                                 duration timeout);

// The HTTP request that asks a target to stop working on request `id`.
http_request encodeTargetCancellation(const std::string &id);

// Whether `reply` to a cancellation says that the request runs no more and will not.
bool isCancellationConfirmed(const http_reply &reply);

// The HTTP request for a target's health report.
http_request encodeTargetHealthRequest();

// Reads a health report; nothing if it is none.
std::optional<target_status> decodeTargetHealth(const http_reply &reply);

// Reads a target's answer to `request`.
target_reply decodeTargetReply(const leaf_request &request, const http_reply &reply);

// What a failed exchange says.
target_reply toTargetReply(const http_failure &failure);

} // namespace gooseberrymoor
