#include "gooseberrymoor/fleet/fleet_member_codec.h"

#include "gooseberrymoor/base/json_read.h"

#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

endpoint endpointField(const json::object &object, std::string_view key)
{
    const auto value = parseEndpoint(stringField(object, key));
    if (!value)
        throw std::invalid_argument(std::string(key) + " is not a valid address");
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
    return decodeJson(text, [](const json::object &object) {
        fleet_member member;
        member.name = stringField(object, "name");
        member.incarnation = object.at("incarnation").to_number<std::uint64_t>();
        member.availabilityZone = stringField(object, "availability_zone");
        member.callerAddress = endpointField(object, "caller_address");
        member.peerAddress = endpointField(object, "peer_address");
        member.leaving = object.at("leaving").as_bool();
        return member;
    });
}

} // namespace gooseberrymoor
