#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/base/request_error.h"
#include "gooseberrymoor/http/http_message.h"
#include "gooseberrymoor/query/query_answer.h"
#include "gooseberrymoor/query/query_request.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace gooseberrymoor {

// Limits of the timeout of callers' requests. Value type.
struct timeout_limits
{
    duration defaultTimeout {}; // if the request has none
    duration maxTimeout {}; // longer timeouts are reduced to it
};

// Decodes the body of a query to `service` that was received at `now`.
tl::expected<query_request, request_error> decodeQuery(const std::string &service,
                                                       const std::string &body,
                                                       const timeout_limits &limits,
                                                       time_point now);

// Decodes the body of a request to a single shard of `service` that was received at `now`.
tl::expected<query_request, request_error> decodeShardRequest(const std::string &service,
                                                              const std::string &body,
                                                              const timeout_limits &limits,
                                                              time_point now);

// Encodes the reply to a query.
http_reply encodeAnswer(const query_answer &answer);

// Encodes the reply to a request to a single shard.
http_reply encodeShardAnswer(const query_answer &answer);

// Encodes the list of entry addresses, which callers may cache for `timeToLive`.
http_reply encodeDirectory(const std::vector<endpoint> &entries, duration timeToLive);

} // namespace gooseberrymoor
