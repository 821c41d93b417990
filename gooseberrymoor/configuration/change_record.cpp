#include "gooseberrymoor/configuration/change_record.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

std::string stringOrEmpty(const json::object &from, const char *key)
{
    const json::value *value = from.if_contains(key);
    return value ? std::string(value->as_string()) : std::string();
}

} // namespace

std::string encodeChangeRecord(const change_record &record)
{
    return json::serialize(json::object {
        { "operation", record.operation }, { "author", record.author }, { "what", record.what } });
}

tl::expected<change_record, std::string> decodeChangeRecord(const std::string &text)
{
    try {
        const json::object from = json::parse(text).as_object();
        return change_record { stringOrEmpty(from, "operation"), stringOrEmpty(from, "author"),
                               stringOrEmpty(from, "what") };
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string describe(const change_record &record)
{
    return "by " + record.author + ": " + record.what + " (operation " + record.operation + ")";
}

} // namespace gooseberrymoor
