#include "gooseberrymoor/fleet/fleet_member_codec.h"

#include "gooseberrymoor/base/json_read.h"

#include <stdexcept>

namespace gooseberrymoor {

namespace {

namespace json = boost::json;

constexpr double max_processor_cores = 4096;

endpoint endpointField(const json::object &object, std::string_view key)
{
    const auto value = parseEndpoint(stringField(object, key));
    if (!value)
        throw std::invalid_argument(std::string(key) + " is not a valid address");
    return *value;
}

double checkedCores(double cores)
{
    if (!(cores > 0 && cores <= max_processor_cores))
        throw std::invalid_argument("processor_cores is out of range");
    return cores;
}

} // namespace

std::string encodeFleetMember(const fleet_member &member)
{
    const json::object object { { "name", member.name },
                                { "incarnation", member.incarnation },
                                { "availability_zone", member.availabilityZone },
                                { "caller_address", toString(member.callerAddress) },
                                { "peer_address", toString(member.peerAddress) },
                                { "leaving", member.leaving },
                                { "processor_cores", member.processorCores } };
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
        if (const json::value *cores = object.if_contains("processor_cores"))
            member.processorCores = checkedCores(cores->to_number<double>());
        return member;
    });
}

} // namespace gooseberrymoor
