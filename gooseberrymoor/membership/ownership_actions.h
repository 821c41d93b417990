#pragma once

#include "gooseberrymoor/membership/cell_view.h"
#include "gooseberrymoor/membership/membership_message.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrymoor {

// The actions that the caller must perform after an event of `ownership`. Value type.
struct ownership_actions
{
    struct outgoing
    {
        std::string to;
        membership_message message;
    };

    std::vector<outgoing> messages;
    // A view to be stored by compare-and-swap in place of the view of the same epoch. The result
    // is passed to `ownership::onProposalCompleted`.
    std::optional<cell_view> proposal;
    bool readView = false; // read the view from the store now, before the next regular read
};

} // namespace gooseberrymoor
