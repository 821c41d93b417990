#pragma once

#include "gooseberrymoor/routing/routing_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// Finds the route of a request in one version of the configuration. Immutable, so safe to share.
class route_table
{
public:
    explicit route_table(routing_configuration configuration);

    // The route of `host` with the longest prefix that begins `path`; null if there is none.
    // A port in `host` and a query in `path` do not count.
    const route *find(std::string_view host, std::string_view path) const;

    // What the table was made of.
    const routing_configuration &configuration() const { return m_configuration; }

private:
    routing_configuration m_configuration;
    std::map<std::string, std::vector<const route *>, std::less<>> m_byHost; // longest prefix first
};

} // namespace gooseberrymoor
