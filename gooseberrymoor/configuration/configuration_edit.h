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

// The configuration after an operator's edit. The error names the argument at fault and says what
// to do. Edits are pure: they change their own copy.
using edit_result = tl::expected<configuration, std::string>;

// Adds `service`, in place of one of the same name.
edit_result putService(configuration before, service_config service);

// Adds `target` to `group` of `service`; its name must be new in the service.
edit_result addTarget(configuration before, const std::string &service, const std::string &group,
                      target_config target);

// Removes the target called `target` from `service`.
edit_result removeTarget(configuration before, const std::string &service,
                         const std::string &target);

// Says whether the target is leaving.
edit_result setLeaving(configuration before, const std::string &service, const std::string &target,
                       bool leaving);

// Changes limits of `service`; at least one must be given.
edit_result setLimits(configuration before, const std::string &service, const limits_edit &changes);

// Changes the share (per mille) of `version` or whether it is blocked; a new version is added
// with share 0 unless one is given.
edit_result setVersion(configuration before, const std::string &service, const std::string &version,
                       std::optional<std::int64_t> sharePermille, std::optional<bool> blocked);

// Adds `snapshot` as the newest of `service`; its id must be new.
edit_result addSnapshot(configuration before, const std::string &service, snapshot_config snapshot);

// Removes a snapshot; the last one of a service stays.
edit_result removeSnapshot(configuration before, const std::string &service,
                           const std::string &snapshot);

// Takes an availability zone out of service; a target must stand in it.
edit_result takeZoneOut(configuration before, const std::string &zone);

// Brings an availability zone back.
edit_result bringZoneIn(configuration before, const std::string &zone);

// All availability zones that a target stands in, or that are out.
std::set<std::string> zonesOf(const configuration &current);

// The writes that make `after` of `before`, none if they are equal; `what` tells other operators.
// The error says why `after` is no valid configuration.
tl::expected<configuration_change, std::string> changeBetween(const configuration &before,
                                                              const configuration &after,
                                                              const configuration_keys &keys,
                                                              const std::string &what);

} // namespace gooseberrymoor
