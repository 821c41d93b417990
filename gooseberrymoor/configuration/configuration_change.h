#pragma once

#include "gooseberrymoor/store/store_transaction.h"

#include <string>
#include <vector>

namespace gooseberrymoor {

// The writes of one configuration change, and a one-line summary shown to other operators.
struct configuration_change
{
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
    std::string what;
};

} // namespace gooseberrymoor
