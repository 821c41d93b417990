#include "gooseberrymoor/configuration/service_config.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

template <typename Range, typename Projection>
auto findBy(const Range &range, Projection projection, const std::string &wanted)
    -> decltype(&*range.begin())
{
    const auto found = std::ranges::find(range, wanted, projection);
    return found == range.end() ? nullptr : &*found;
}

} // namespace

const group_config *service_config::findGroup(const std::string &group) const
{
    return findBy(groups, &group_config::name, group);
}

const snapshot_config *service_config::findSnapshot(const std::string &id) const
{
    return findBy(snapshots, &snapshot_config::id, id);
}

const version_config *service_config::findVersion(const std::string &version) const
{
    return findBy(versions, &version_config::name, version);
}

} // namespace gooseberrymoor
