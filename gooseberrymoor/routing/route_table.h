#pragma once

#include "gooseberrymoor/routing/routing_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// Finds the route of a request in one version of the configuration. Immutable and thread-safe.
class route_table
{
public:
    explicit route_table(routing_configuration configuration);

    // The route of `host` with the longest prefix of `path`; null if there is none. A port in
    // `host` and a query string in `path` are ignored.
    const route *find(std::string_view host, std::string_view path) const;

    // The configuration that the table was built from.
    const routing_configuration &configuration() const { return m_configuration; }

private:
    routing_configuration m_configuration;
    // The routes of each host, longest prefix first.
    std::map<std::string, std::vector<const route *>, std::less<>> m_routesByHost;
};

} // namespace gooseberrymoor
