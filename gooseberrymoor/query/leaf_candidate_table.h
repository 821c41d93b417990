#pragma once

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/query/leaf_candidate.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrymoor {

struct cell_view;

// The targets that may serve each group, for one configuration and one membership view. Leaves out
// targets that are leaving, that are in an availability zone that is out, that run a blocked
// version or one without traffic share, or that have no owner. Immutable, so a running query can
// keep using it after an update.
class leaf_candidate_table
{
public:
    leaf_candidate_table(std::shared_ptr<const configuration> current, const cell_view &view);

    // Returns the service called `name`, or null.
    const service_config *findService(const std::string &name) const;

    // Returns the targets that may serve the shards of `group`; empty if there are none.
    const std::vector<leaf_candidate> &candidates(const std::string &service,
                                                  const std::string &group) const;

private:
    std::shared_ptr<const configuration> m_configuration;
    std::map<std::string, std::map<std::string, std::vector<leaf_candidate>>> m_candidates;
};

} // namespace gooseberrymoor
