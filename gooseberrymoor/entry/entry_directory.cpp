#include "gooseberrymoor/entry/entry_directory.h"

#include "gooseberrymoor/membership/cell_view.h"

namespace gooseberrymoor {

std::vector<endpoint> entryAddresses(const cell_view &view, const std::set<std::string> &zonesOut)
{
    std::vector<endpoint> entries;
    for (const member &each : view.members) {
        if (!each.leaving && !zonesOut.contains(each.availabilityZone))
            entries.push_back(each.entryAddress);
    }
    return entries;
}

} // namespace gooseberrymoor
