#include "gooseberrymoor/store/etcd_codec.h"

#include "gooseberrymoor/store/base64.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

// Returns the end of the range of keys with `prefix`: the first key after all of them.
std::string prefixRangeEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

std::int64_t integerField(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    if (!value)
        return 0; // proto3 JSON omits fields with the value 0
    if (value->is_int64())
        return value->as_int64();
    const auto &text = value->as_string();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        throw std::invalid_argument(std::string(key) + ": not an integer");
    return number;
}

std::string bytesField(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value ? fromBase64(std::string(value->as_string())) : std::string();
}

std::int64_t headerRevision(const json::object &response)
{
    return integerField(response.at("header").as_object(), "revision");
}

} // namespace

std::string encodeRangeRequest(const std::string &prefix)
{
    return json::serialize(json::object { { "key", toBase64(prefix) },
                                          { "range_end", toBase64(prefixRangeEnd(prefix)) } });
}

std::string encodeKeyRequest(const std::string &key)
{
    return json::serialize(json::object { { "key", toBase64(key) } });
}

tl::expected<store_read, std::string> decodeRangeResponse(const std::string &body)
{
    try {
        const json::object response = json::parse(body).as_object();
        store_read read;
        read.revision = headerRevision(response);
        const json::value *entries = response.if_contains("kvs");
        if (!entries)
            return read;
        for (const json::value &row : entries->as_array()) {
            const json::object &entry = row.as_object();
            read.entries.push_back({ bytesField(entry, "key"), bytesField(entry, "value"),
                                     integerField(entry, "mod_revision") });
        }
        return read;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string encodeTransaction(const store_transaction &transaction)
{
    json::array compares;
    for (const store_compare &compare : transaction.compares) {
        compares.push_back(
            json::object { { "key", toBase64(compare.key) },
                           { "target", "MOD" },
                           { "result", "EQUAL" },
                           { "mod_revision", std::to_string(compare.modRevision) } });
    }
    json::array changes;
    for (const store_put &put : transaction.puts) {
        json::object request { { "key", toBase64(put.key) }, { "value", toBase64(put.value) } };
        if (put.lease != 0)
            request["lease"] = std::to_string(put.lease);
        changes.push_back(json::object { { "request_put", request } });
    }
    for (const std::string &key : transaction.deletes) {
        changes.push_back(
            json::object { { "request_delete_range", { { "key", toBase64(key) } } } });
    }
    return json::serialize(json::object { { "compare", compares }, { "success", changes } });
}

tl::expected<transaction_result, std::string> decodeTransactionResponse(const std::string &body)
{
    try {
        const json::object response = json::parse(body).as_object();
        const json::value *succeeded = response.if_contains("succeeded");
        return transaction_result { succeeded && succeeded->as_bool(), headerRevision(response) };
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string encodeLeaseGrant(duration timeToLive)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    return json::serialize(json::object { { "TTL", std::to_string(std::max(seconds, 1L)) } });
}

tl::expected<std::int64_t, std::string> decodeLeaseGrant(const std::string &body)
{
    try {
        const std::int64_t lease = integerField(json::parse(body).as_object(), "ID");
        if (lease == 0)
            return tl::unexpected(std::string("ID: missing"));
        return lease;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string encodeKeepAlive(std::int64_t lease)
{
    return json::serialize(json::object { { "ID", std::to_string(lease) } });
}

tl::expected<duration, std::string> decodeKeepAlive(const std::string &body)
{
    try {
        const json::object response = json::parse(body).as_object();
        const auto remaining = integerField(response.at("result").as_object(), "TTL");
        return duration(std::chrono::seconds(std::max<std::int64_t>(remaining, 0)));
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string encodeWatch(const std::string &prefix, std::int64_t afterRevision)
{
    const json::object create { { "key", toBase64(prefix) },
                                { "range_end", toBase64(prefixRangeEnd(prefix)) },
                                { "start_revision", std::to_string(afterRevision + 1) } };
    return json::serialize(json::object { { "create_request", create } });
}

tl::expected<bool, std::string> decodeWatchLine(const std::string &line)
{
    try {
        const json::object response = json::parse(line).as_object();
        const json::object &result = response.at("result").as_object();
        const json::value *events = result.if_contains("events");
        const json::value *cancelled = result.if_contains("canceled");
        const bool changed = events && !events->as_array().empty();
        return changed || (cancelled && cancelled->as_bool());
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace gooseberrymoor
