#pragma once

#include "gooseberrymoor/configuration/service_config.h"
#include "gooseberrymoor/rollout/move_record.h"

#include <optional>
#include <set>
#include <string>

namespace gooseberrymoor {

// One change made by a move, to be written atomically. Value type.
struct move_step
{
    move_record next; // its `revision` is that of the record to replace
    std::optional<service_config> service; // new value, if the step changes it
    std::optional<std::set<std::string>> zonesOut; // new value, if the step changes it

    // Whether the step changes the configuration.
    bool changesConfiguration() const { return service || zonesOut; }
};

} // namespace gooseberrymoor
