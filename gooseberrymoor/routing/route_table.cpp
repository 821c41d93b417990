#include "gooseberrymoor/routing/route_table.h"

#include <algorithm>

namespace gooseberrymoor {

route_table::route_table(routing_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const route &each : m_configuration.routes)
        m_routesByHost[each.host].push_back(&each);
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const route *left, const route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host.substr(0, host.find(':')));
    if (found == m_routesByHost.end())
        return nullptr;
    const std::string_view withoutQuery = path.substr(0, path.find('?'));
    for (const route *each : found->second) {
        if (withoutQuery.starts_with(each->pathPrefix))
            return each;
    }
    return nullptr;
}

} // namespace gooseberrymoor
