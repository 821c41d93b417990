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

// How long callers' requests may take. Value type.
struct timeout_limits
{
    duration standard {};
    duration longest {};
};

// Reads the body of a query for `service` that came at `now`.
tl::expected<query_request, request_error> decodeQuery(const std::string &service,
                                                       const std::string &body,
                                                       const timeout_limits &limits,
                                                       time_point now);

// Reads the body of a request to one shard of `service`.
tl::expected<query_request, request_error> decodeShardRequest(const std::string &service,
                                                              const std::string &body,
                                                              const timeout_limits &limits,
                                                              time_point now);

// The reply to a query.
http_reply encodeAnswer(const query_answer &answer);

// The reply to a request to one shard.
http_reply encodeShardAnswer(const query_answer &answer);

// The reply to a question for entries.
http_reply encodeDirectory(const std::vector<endpoint> &entries, duration timeToLive);

} // namespace gooseberrymoor
