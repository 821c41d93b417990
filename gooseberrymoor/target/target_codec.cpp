#include "gooseberrymoor/target/target_codec.h"

#include "gooseberrymoor/admission/leaf_message.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_cancelled = 499;
constexpr unsigned http_unavailable = 503;
constexpr unsigned http_gateway_timeout = 504;

std::string stringMember(const json::object &body, const char *key)
{
    const json::value *value = body.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<bool> boolMember(const json::object &body, const char *key)
{
    const json::value *value = body.if_contains(key);
    return value && value->is_bool() ? std::optional(value->as_bool()) : std::nullopt;
}

target_status decodeStatus(const json::object &body)
{
    return { stringMember(body, "instance"), boolMember(body, "cold"),
             boolMember(body, "draining").value_or(false) };
}

std::optional<json::object> parseObject(const http_reply &reply)
{
    boost::system::error_code error;
    json::value document = json::parse(reply.body, error);
    if (error || !document.is_object())
        return std::nullopt;
    return std::move(document.as_object());
}

// A target refuses a request before it executes any part of it.
void applyRefusal(const json::object &body, target_reply &reply)
{
    const bool isDraining = stringMember(body, "error") == nameOf(error_kind::draining);
    reply.result = isDraining ? leaf_result::drained : leaf_result::shed;
    reply.error = isDraining ? error_kind::draining : error_kind::target_shed;
    reply.outcome = verdict::not_run;
}

void applyHttpStatus(unsigned status, const json::object &body, target_reply &reply)
{
    switch (status) {
    case http_ok:
        return;
    case http_conflict:
        reply.result = leaf_result::failed;
        reply.error = error_kind::snapshot_unavailable;
        reply.outcome = verdict::not_run;
        return;
    case http_unavailable:
        applyRefusal(body, reply);
        return;
    case http_cancelled:
        reply.result = leaf_result::cancelled;
        reply.error = error_kind::cancelled;
        reply.outcome = verdict::may_have_run;
        return;
    case http_gateway_timeout:
        reply.result = leaf_result::failed;
        reply.error = error_kind::timed_out;
        reply.outcome = verdict::may_have_run;
        return;
    default:
        reply.result = leaf_result::failed;
        reply.error = error_kind::target_failed;
        reply.outcome = verdict::may_have_run;
    }
}

target_reply malformedReply()
{
    target_reply reply;
    reply.result = leaf_result::failed;
    reply.error = error_kind::malformed_answer;
    reply.outcome = verdict::may_have_run;
    return reply;
}

} // namespace

http_request encodeTargetRequest(const leaf_request &request, const std::string &id,
                                 duration timeout)
{
    const json::object document { { "request", id },
                                  { "shard", request.shard },
                                  { "snapshot", request.snapshot },
                                  { "idempotent", request.idempotent },
                                  { "timeout_ms", timeout.count() },
                                  { "body", request.body },
                                  { "route", request.route } };
    return { "POST", "/leaf", json::serialize(document) };
}

http_request encodeTargetCancellation(const std::string &id)
{
    return { "POST", "/cancel", json::serialize(json::object { { "request", id } }) };
}

bool isCancellationConfirmed(const http_reply &reply)
{
    const auto body = parseObject(reply);
    return reply.status == http_ok && body && boolMember(*body, "stopped") == true;
}

http_request encodeTargetHealthRequest()
{
    return { "GET", "/health", "" };
}

std::optional<target_status> decodeTargetHealth(const http_reply &reply)
{
    const auto body = parseObject(reply);
    if (reply.status != http_ok || !body)
        return std::nullopt;
    return decodeStatus(*body);
}

target_reply decodeTargetReply(const leaf_request &request, const http_reply &reply)
{
    const auto body = parseObject(reply);
    if (!body)
        return malformedReply();
    target_reply result;
    result.status = decodeStatus(*body);
    result.snapshot = stringMember(*body, "snapshot");
    result.body = stringMember(*body, "body");
    applyHttpStatus(reply.status, *body, result);
    const bool answered = result.error == error_kind::none;
    if (answered && stringMember(*body, "request_shard") != request.shard)
        return malformedReply();
    if (answered && result.snapshot != request.snapshot) {
        result.error = error_kind::snapshot_unavailable;
        result.body.clear();
    }
    return result;
}

target_reply toTargetReply(const http_failure &failure)
{
    target_reply reply;
    reply.result = failure.timedOut ? leaf_result::timed_out : leaf_result::lost;
    if (failure.outcome == verdict::not_run)
        reply.result = leaf_result::unsent;
    reply.error = failure.timedOut ? error_kind::timed_out : error_kind::target_lost;
    reply.outcome = failure.outcome;
    return reply;
}

} // namespace gooseberrymoor
