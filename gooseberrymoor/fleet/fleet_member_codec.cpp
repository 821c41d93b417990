#include "gooseberrymoor/fleet/fleet_member_codec.h"

#include <boost/json.hpp>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

std::string textOf(const json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

endpoint endpointOf(const json::object &object, std::string_view key)
{
    const auto value = parseEndpoint(textOf(object, key));
    if (!value)
        throw std::invalid_argument(std::string(key) + " is no address");
    return *value;
}

} // namespace

std::string encodeFleetMember(const fleet_member &member)
{
    const json::object object { { "name", member.name },
                                { "incarnation", member.incarnation },
                                { "availability_zone", member.availabilityZone },
                                { "caller_address", toString(member.callerAddress) },
                                { "peer_address", toString(member.peerAddress) },
                                { "leaving", member.leaving } };
    return json::serialize(object);
}

tl::expected<fleet_member, std::string> decodeFleetMember(const std::string &text)
{
    try {
        const json::value document = json::parse(text);
        const json::object &object = document.as_object();
        fleet_member member;
        member.name = textOf(object, "name");
        member.incarnation = object.at("incarnation").to_number<std::uint64_t>();
        member.availabilityZone = textOf(object, "availability_zone");
        member.callerAddress = endpointOf(object, "caller_address");
        member.peerAddress = endpointOf(object, "peer_address");
        member.leaving = object.at("leaving").as_bool();
        return member;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace gooseberrymoor
