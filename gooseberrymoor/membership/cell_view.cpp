#include "gooseberrymoor/membership/cell_view.h"

#include "gooseberrymoor/base/rendezvous.h"

#include <algorithm>

namespace gooseberrymoor {

const member *cell_view::find(std::string_view name) const
{
    const auto found = std::ranges::find(members, name, &member::name);
    return found == members.end() ? nullptr : &*found;
}

bool cell_view::hasMember(const member_id &id) const
{
    const member *found = find(id.name);
    return found && found->incarnation == id.incarnation;
}

void cell_view::put(member value)
{
    remove(value.name);
    const auto place = std::ranges::upper_bound(members, value.name, {}, &member::name);
    members.insert(place, std::move(value));
}

void cell_view::remove(std::string_view name)
{
    std::erase_if(members, [name](const member &candidate) { return candidate.name == name; });
}

const member *ownerOf(const cell_view &view, std::string_view target)
{
    const member *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const member &candidate : view.members) {
        if (candidate.leaving)
            continue;
        const std::uint64_t rank = rendezvousWeight(candidate.name, target);
        if (!best || rank > bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace gooseberrymoor
