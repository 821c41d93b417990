#include "gooseberrymoor/query/leaf_candidate_table.h"

#include "gooseberrymoor/membership/cell_view.h"

namespace gooseberrymoor {

namespace {

// Returns the traffic share of the target's version, or 0 if the target may serve nothing.
int servingSharePermille(const configuration &current, const service_config &service,
                         const target_config &target)
{
    const version_config *version = service.findVersion(target.version);
    if (target.leaving || current.zonesOut.contains(target.availabilityZone) || !version
        || version->blocked)
        return 0;
    return version->sharePermille;
}

} // namespace

leaf_candidate_table::leaf_candidate_table(std::shared_ptr<const configuration> current,
                                           const cell_view &view)
    : m_configuration(std::move(current))
{
    for (const auto &[name, service] : m_configuration->services) {
        for (const group_config &group : service.groups) {
            auto &candidates = m_candidates[name][group.name];
            for (const target_config &target : group.targets) {
                const int sharePermille = servingSharePermille(*m_configuration, service, target);
                if (sharePermille <= 0)
                    continue;
                std::string key = name + "/" + target.name;
                const member *owner = ownerOf(view, key);
                if (owner) {
                    candidates.push_back({ target.name, std::move(key), target.version,
                                           sharePermille, target.availabilityZone, owner->name });
                }
            }
        }
    }
}

const service_config *leaf_candidate_table::findService(const std::string &name) const
{
    return m_configuration->findService(name);
}

const std::vector<leaf_candidate> &leaf_candidate_table::candidates(const std::string &service,
                                                                    const std::string &group) const
{
    static const std::vector<leaf_candidate> none;
    const auto groups = m_candidates.find(service);
    if (groups == m_candidates.end())
        return none;
    const auto found = groups->second.find(group);
    return found == groups->second.end() ? none : found->second;
}

} // namespace gooseberrymoor
