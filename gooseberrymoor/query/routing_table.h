#pragma once

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/query/leaf_candidate.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// Which targets may be asked for what, under one configuration and one view. Immutable, so that
// a query that began with it can go on with it. Targets in availability zones that are out,
// leaving targets and targets of blocked versions are not in it.
class routing_table
{
public:
    routing_table(std::shared_ptr<const configuration> current, const cell_view &view);

    // The service called `name`, or null.
    const service_config *findService(const std::string &name) const;

    // Who may be asked for the shards of `group`; empty if nobody.
    const std::vector<leaf_candidate> &candidates(const std::string &service,
                                                  const std::string &group) const;

private:
    std::shared_ptr<const configuration> m_configuration;
    std::map<std::string, std::map<std::string, std::vector<leaf_candidate>>> m_candidates;
};

} // namespace gooseberrymoor
