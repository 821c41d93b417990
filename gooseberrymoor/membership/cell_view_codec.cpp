#include "gooseberrymoor/membership/cell_view_codec.h"

#include "gooseberrymoor/membership/cell_view.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

endpoint decodeEndpoint(const json::object &from, const char *key)
{
    const auto parsed = parseEndpoint(std::string(from.at(key).as_string()));
    if (!parsed)
        throw std::invalid_argument(std::string(key) + ": not an IP address and port");
    return *parsed;
}

member decodeMember(const json::object &from)
{
    member result;
    result.name = std::string(from.at("name").as_string());
    result.incarnation = std::stoull(std::string(from.at("incarnation").as_string()));
    result.availabilityZone = std::string(from.at("availability_zone").as_string());
    result.peerAddress = decodeEndpoint(from, "peer_address");
    result.entryAddress = decodeEndpoint(from, "entry_address");
    result.leaving = from.at("leaving").as_bool();
    return result;
}

} // namespace

std::string encodeView(const cell_view &view)
{
    json::array members;
    for (const member &each : view.members) {
        members.push_back(json::object { { "name", each.name },
                                         { "incarnation", std::to_string(each.incarnation) },
                                         { "availability_zone", each.availabilityZone },
                                         { "peer_address", toString(each.peerAddress) },
                                         { "entry_address", toString(each.entryAddress) },
                                         { "leaving", each.leaving } });
    }
    return json::serialize(json::object { { "removals", view.removals }, { "members", members } });
}

tl::expected<cell_view, std::string> decodeView(const std::string &text)
{
    try {
        cell_view view;
        const json::value document = json::parse(text);
        for (const json::value &each : document.at("members").as_array())
            view.put(decodeMember(each.as_object()));
        view.removals = document.at("removals").as_int64();
        return view;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace gooseberrymoor
