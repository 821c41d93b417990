#pragma once

#include "gooseberrymoor/membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// The agreed membership of a cell. Each change creates a new view with a higher epoch, by
// compare-and-swap on one key of the store. Value type.
struct cell_view
{
    std::int64_t epoch = 0; // the revision at which the store's key was last modified
    std::int64_t removals = 0; // members that others have removed or replaced since the first view
    std::vector<member> members; // sorted by name

    // Returns whether the view contains this incarnation of the node.
    bool hasMember(const member_id &id) const;

    // Returns the member named `name`, or null.
    const member *find(std::string_view name) const;

    // Inserts `value`, replacing a member of the same name.
    void put(member value);

    // Removes the member named `name`, if there is one.
    void remove(std::string_view name);

    bool operator==(const cell_view &) const = default;
};

// Returns the owner of `target`: the member with the highest rendezvous rank among those that are
// not leaving, or null if there is none. Every node with the same view gets the same result.
const member *ownerOf(const cell_view &view, std::string_view target);

} // namespace gooseberrymoor
