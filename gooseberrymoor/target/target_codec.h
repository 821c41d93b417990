#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_failure.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/target/target_reply.h"

#include <optional>

namespace gooseberrymoor {

struct leaf_request;

// Returns the HTTP request that sends `request` to a target with the id `id`. `timeout` is the time
// that remains for it.
http_request encodeTargetRequest(const leaf_request &request, const std::string &id,
                                 duration timeout);

// Returns the HTTP request that asks a target to stop processing request `id`.
http_request encodeTargetCancellation(const std::string &id);

// Whether `reply` to a cancellation confirms that the request is not running and will not run.
bool isCancellationConfirmed(const http_reply &reply);

// Returns the HTTP request for a target's health report.
http_request encodeTargetHealthRequest();

// Decodes a health report; empty if `reply` is not a valid one.
std::optional<target_status> decodeTargetHealth(const http_reply &reply);

// Decodes a target's reply to `request`.
target_reply decodeTargetReply(const leaf_request &request, const http_reply &reply);

// Converts the failure of an HTTP exchange to the equivalent reply.
target_reply toTargetReply(const http_failure &failure);

} // namespace gooseberrymoor
