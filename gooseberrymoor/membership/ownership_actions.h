#pragma once

#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/membership/membership_message.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What is to be done after an event of `ownership`. Value type.
struct ownership_actions
{
    struct outgoing
    {
        std::string to;
        membership_message message;
    };

    std::vector<outgoing> messages;
    // To be put in place of the view of its epoch, by compare-and-swap; ends with
    // `ownership::onProposalCompleted`.
    std::optional<cell_view> proposal;
    bool readView = false; // the store holds a newer view
};

} // namespace gooseberrymoor
