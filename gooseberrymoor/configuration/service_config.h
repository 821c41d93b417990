#pragma once

#include "gooseberrymoor/configuration/group_config.h"
#include "gooseberrymoor/configuration/snapshot_config.h"
#include "gooseberrymoor/configuration/target_limits.h"
#include "gooseberrymoor/configuration/version_config.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// Operators' configuration of one query service. Value type.
struct service_config
{
    std::string name;
    target_limits limits;
    std::vector<group_config> groups;
    std::vector<snapshot_config> snapshots; // oldest first; queries prefer the newest
    std::vector<version_config> versions;

    // Returns the group called `group`, or null.
    const group_config *findGroup(const std::string &group) const;
    // Returns the snapshot with this ID, or null.
    const snapshot_config *findSnapshot(const std::string &id) const;
    // Returns the version called `version`, or null.
    const version_config *findVersion(const std::string &version) const;

    bool operator==(const service_config &) const = default;
};

} // namespace gooseberrymoor
