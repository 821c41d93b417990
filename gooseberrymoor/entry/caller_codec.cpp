#include "gooseberrymoor/entry/caller_codec.h"

#include "gooseberrymoor/http/error_reply.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr std::size_t max_route_bytes = 64;

request_error badRequest(std::string detail)
{
    return { error_kind::bad_request, verdict::not_run, std::move(detail) };
}

tl::expected<json::object, request_error> parseObject(const std::string &body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return tl::unexpected(badRequest("the body is no JSON object"));
    return std::move(parsed.as_object());
}

tl::expected<std::string, request_error> optionalString(const json::object &document,
                                                        const char *key)
{
    const json::value *value = document.if_contains(key);
    if (!value)
        return std::string();
    if (!value->is_string())
        return tl::unexpected(badRequest(std::string(key) + " is no text"));
    return std::string(value->as_string());
}

bool isRouteCharacter(char character)
{
    const bool isLetter
        = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '-' || character == '_' || character == '/';
}

tl::expected<std::string, request_error> decodeRoute(const json::object &document)
{
    auto route = optionalString(document, "route");
    if (!route)
        return route;
    if (route->size() > max_route_bytes || !std::ranges::all_of(*route, isRouteCharacter))
        return tl::unexpected(
            badRequest("route is longer than 64 bytes or has more than letters, digits, - _ /"));
    return route;
}

tl::expected<time_point, request_error> decodeDeadline(const json::object &document,
                                                       const timeout_limits &limits, time_point now)
{
    const json::value *value = document.if_contains("timeout_ms");
    if (!value)
        return now + limits.defaultTimeout;
    if (!value->is_int64())
        return tl::unexpected(badRequest("timeout_ms is no whole number"));
    if (value->as_int64() <= 0)
        return tl::unexpected(request_error { error_kind::deadline_passed, verdict::not_run,
                                              "timeout_ms is not positive" });
    return now + std::min(duration(value->as_int64()), limits.maxTimeout);
}

tl::expected<query_request, request_error> decodeCommon(const std::string &service,
                                                        const json::object &document,
                                                        const timeout_limits &limits,
                                                        time_point now)
{
    const auto body = optionalString(document, "body");
    if (!body)
        return tl::unexpected(body.error());
    const auto deadline = decodeDeadline(document, limits, now);
    if (!deadline)
        return tl::unexpected(deadline.error());
    auto route = decodeRoute(document);
    if (!route)
        return tl::unexpected(route.error());
    query_request request;
    request.service = service;
    request.body = *body;
    request.deadline = *deadline;
    request.route = std::move(*route);
    return request;
}

} // namespace

tl::expected<query_request, request_error> decodeQuery(const std::string &service,
                                                       const std::string &body,
                                                       const timeout_limits &limits, time_point now)
{
    const auto document = parseObject(body);
    if (!document)
        return tl::unexpected(document.error());
    auto request = decodeCommon(service, *document, limits, now);
    const json::value *shards = document->if_contains("shards");
    if (!request || !shards)
        return request;
    if (!shards->is_array())
        return tl::unexpected(badRequest("shards is no list"));
    for (const json::value &shard : shards->as_array()) {
        if (!shard.is_string())
            return tl::unexpected(badRequest("shards holds what is no text"));
        request->shards.emplace_back(shard.as_string());
    }
    return request;
}

tl::expected<query_request, request_error> decodeShardRequest(const std::string &service,
                                                              const std::string &body,
                                                              const timeout_limits &limits,
                                                              time_point now)
{
    const auto document = parseObject(body);
    if (!document)
        return tl::unexpected(document.error());
    auto request = decodeCommon(service, *document, limits, now);
    if (!request)
        return request;
    const auto shard = optionalString(*document, "shard");
    if (!shard)
        return tl::unexpected(shard.error());
    if (shard->empty())
        return tl::unexpected(badRequest("shard is missing"));
    request->shards = { *shard };
    const json::value *idempotent = document->if_contains("idempotent");
    if (idempotent && !idempotent->is_bool())
        return tl::unexpected(badRequest("idempotent is neither true nor false"));
    request->idempotent = idempotent && idempotent->as_bool();
    return request;
}

http_reply encodeAnswer(const query_answer &answer)
{
    json::array results;
    for (const shard_result &result : answer.results)
        results.push_back(json::object { { "shard", result.shard }, { "body", result.body } });
    json::array uncovered;
    for (const uncovered_shard &missing : answer.uncovered) {
        uncovered.push_back(json::object { { "shard", missing.shard },
                                           { "reason", nameOf(missing.reason) },
                                           { "verdict", nameOf(missing.outcome) } });
    }
    const json::object coverage { { "shards", answer.shards() },
                                  { "answered", answer.results.size() } };
    const json::object load { { "leaf_requests", answer.leafRequests },
                              { "extra", answer.extraRequests } };
    return { 200,
             json::serialize(json::object { { "snapshot", answer.snapshot },
                                            { "coverage", coverage },
                                            { "results", results },
                                            { "uncovered", uncovered },
                                            { "load", load } }) };
}

http_reply encodeShardAnswer(const query_answer &answer)
{
    if (!answer.uncovered.empty()) {
        const uncovered_shard &missing = answer.uncovered.front();
        return toReply({ missing.reason, missing.outcome, "shard " + missing.shard });
    }
    const shard_result &result = answer.results.front();
    return { 200,
             json::serialize(json::object { { "snapshot", answer.snapshot },
                                            { "shard", result.shard },
                                            { "body", result.body },
                                            { "verdict", nameOf(verdict::completed) } }) };
}

http_reply encodeDirectory(const std::vector<endpoint> &entries, duration timeToLive)
{
    json::array addresses;
    for (const endpoint &entry : entries)
        addresses.push_back(json::string(toString(entry)));
    return { 200,
             json::serialize(
                 json::object { { "entries", addresses }, { "ttl_ms", timeToLive.count() } }) };
}

} // namespace gooseberrymoor
