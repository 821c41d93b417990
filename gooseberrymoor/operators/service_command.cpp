#include "gooseberrymoor/operators/service_command.h"

#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_edit.h"
#include "gooseberrymoor/operators/store_session.h"
#include <boost/json.hpp>

namespace gooseberrymoor {

namespace {

tl::expected<service_config, std::string> readServiceFile(const command_arguments &arguments)
{
    const auto text = arguments.fileText("FILE");
    if (!text)
        return tl::unexpected(text.error());
    auto service = decodeService(*text);
    if (!service)
        return tl::unexpected(arguments.text("FILE") + ": " + service.error());
    return std::move(*service);
}

} // namespace

tl::expected<configuration, std::string> service_command::edit(configuration before,
                                                               const command_arguments &arguments)
{
    const std::string name = arguments.text("NAME");
    if (arguments.has("show"))
        return tl::unexpected("NAME: no service \"" + name + "\"");
    if (arguments.has("remove")) {
        before.services.erase(name);
        return before;
    }
    auto service = readServiceFile(arguments);
    if (!service)
        return tl::unexpected(service.error());
    return putService(std::move(before), std::move(*service));
}

std::string service_command::replacedKey(const store_session &session,
                                         const command_arguments &arguments)
{
    if (arguments.has("remove"))
        return session.keys().service(arguments.text("NAME"));
    if (!arguments.has("put"))
        return "";
    const auto service = readServiceFile(arguments);
    return service ? session.keys().service(service->name) : "";
}

std::string service_command::listing(const configuration &current,
                                     const command_arguments &arguments)
{
    if (arguments.has("show")) {
        const service_config *service = current.findService(arguments.text("NAME"));
        return service ? encodeService(*service) : "";
    }
    if (!arguments.has("list"))
        return "";
    boost::json::array list;
    std::string lines;
    for (const auto &[name, service] : current.services) {
        list.push_back(boost::json::string(name));
        lines += name + ": " + std::to_string(service.groups.size()) + " groups, "
            + std::to_string(service.snapshots.size()) + " snapshots, "
            + std::to_string(service.versions.size()) + " versions\n";
    }
    if (arguments.has("--json"))
        return boost::json::serialize(
            boost::json::object { { "revision", current.revision }, { "services", list } });
    return lines + "revision " + std::to_string(current.revision);
}

} // namespace gooseberrymoor
