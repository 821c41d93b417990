#pragma once

#include "gooseberrymoor/store/store_transaction.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// One change of a configuration: its keys, and a line that tells other operators what it does.
struct configuration_change
{
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
    std::string what;
};

} // namespace gooseberrymoor
