#pragma once

#include "gooseberrymoor/configuration/configuration.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace gooseberrymoor {

class configuration_keys;
struct configuration_change;
struct limits_edit;

// The edited configuration, or an error that names the invalid argument and how to fix it. Edits
// are pure functions that change their own copy.
using edit_result = tl::expected<configuration, std::string>;

// Adds `service`, replacing one of the same name.
edit_result putService(configuration before, service_config service);

// Adds `target` to `group` of `service`; its name must be unused in the service.
edit_result addTarget(configuration before, const std::string &service, const std::string &group,
                      target_config target);

// Removes the target called `target` from `service`.
edit_result removeTarget(configuration before, const std::string &service,
                         const std::string &target);

// Sets whether the target is leaving.
edit_result setLeaving(configuration before, const std::string &service, const std::string &target,
                       bool leaving);

// Changes the given limits of `service`; at least one must be given.
edit_result setLimits(configuration before, const std::string &service, const limits_edit &changes);

// Sets the share (per mille) of `version` and whether it is blocked; at least one must be given.
// An unknown version is added, with share 0 by default.
edit_result setVersion(configuration before, const std::string &service, const std::string &version,
                       std::optional<std::int64_t> sharePermille, std::optional<bool> blocked);

// Adds `snapshot` as the newest of `service`; its ID must be unused.
edit_result addSnapshot(configuration before, const std::string &service, snapshot_config snapshot);

// Removes a snapshot from `service`; fails for the only one.
edit_result removeSnapshot(configuration before, const std::string &service,
                           const std::string &snapshot);

// Takes an availability zone out of service; it must contain a target.
edit_result takeZoneOut(configuration before, const std::string &zone);

// Returns an availability zone to service.
edit_result bringZoneIn(configuration before, const std::string &zone);

// Returns all availability zones that contain a target or are out of service.
std::set<std::string> zonesOf(const configuration &current);

// Returns the writes that turn `before` into `after`; none if they are equal. `what` is the summary
// shown to other operators. The error says why `after` is not a valid configuration.
tl::expected<configuration_change, std::string> changeBetween(const configuration &before,
                                                              const configuration &after,
                                                              const configuration_keys &keys,
                                                              const std::string &what);

} // namespace gooseberrymoor
