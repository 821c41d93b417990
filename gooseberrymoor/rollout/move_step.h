#pragma once

#include "gooseberrymoor/configuration/service_config.h"
#include "gooseberrymoor/rollout/move_record.h"

#include <optional>
#include <set>
#include <string>

namespace gooseberrymoor {

// One change that a move makes: all of it or nothing is written. Value type.
struct move_step
{
    move_record next; // its revision is the one that it replaces
    std::optional<service_config> service; // as it should be, if the move changes it
    std::optional<std::set<std::string>> zonesOut; // as they should be, if the move changes them

    // Whether the configuration changes too.
    bool changesConfiguration() const { return service || zonesOut; }
};

} // namespace gooseberrymoor
