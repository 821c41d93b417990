#include "gooseberrymoor/operators/zone_command.h"

#include "gooseberrymoor/configuration/configuration_edit.h"
#include <boost/json.hpp>

namespace gooseberrymoor {

tl::expected<configuration, std::string> zone_command::edit(configuration before,
                                                            const command_arguments &arguments)
{
    const std::string zone = arguments.text("ZONE");
    return arguments.has("out") ? takeZoneOut(std::move(before), zone)
                                : bringZoneIn(std::move(before), zone);
}

std::string zone_command::listing(const configuration &current, const command_arguments &arguments)
{
    if (!arguments.has("list"))
        return "";
    boost::json::array out;
    std::string lines;
    for (const std::string &zone : zonesOf(current)) {
        const bool isOut = current.zonesOut.contains(zone);
        lines += (lines.empty() ? "" : "\n") + zone + (isOut ? " out" : " in");
        if (isOut)
            out.push_back(boost::json::string(zone));
    }
    if (arguments.has("--json"))
        return boost::json::serialize(boost::json::object { { "zones_out", out } });
    return lines.empty() ? "no zone is known" : lines;
}

} // namespace gooseberrymoor
