#pragma once

#include "gooseberrymoor/membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrymoor {

// The agreed members of a cell. Each change makes a new view with a higher epoch, by
// compare-and-swap on one key of the store. Value type.
struct cell_view
{
    std::int64_t epoch = 0; // the key's revision in the store
    std::int64_t removals = 0; // members that others removed, or that were replaced, so far
    std::vector<member> members; // sorted by name

    // Whether the view lists this start of that node.
    bool hasMember(const member_id &id) const;

    // The member called `name`, or null.
    const member *find(std::string_view name) const;

    // Adds `value`, in place of a member of the same name.
    void put(member value);

    // Removes the member called `name`, if it is there.
    void remove(std::string_view name);

    bool operator==(const cell_view &) const = default;
};

// The member that owns `target`: the highest rendezvous rank among those that are not leaving;
// null if there is none. The same for every node with the same view.
const member *ownerOf(const cell_view &view, std::string_view target);

} // namespace gooseberrymoor
