#include "gooseberrymoor/query/version_choice.h"

#include <algorithm>

namespace gooseberrymoor {

namespace {

// Returns the first candidate of each version as its representative.
std::vector<const leaf_candidate *> distinctVersions(const std::vector<leaf_candidate> &candidates)
{
    std::vector<const leaf_candidate *> versions;
    for (const leaf_candidate &candidate : candidates) {
        const bool known = std::ranges::any_of(versions, [&candidate](const leaf_candidate *each) {
            return each->version == candidate.version;
        });
        if (!known)
            versions.push_back(&candidate);
    }
    return versions;
}

const leaf_candidate *drawVersion(const std::vector<const leaf_candidate *> &versions,
                                  std::mt19937_64 &random)
{
    if (versions.size() == 1)
        return versions.front();
    int total = 0;
    for (const leaf_candidate *version : versions)
        total += version->sharePermille;
    auto point = static_cast<int>(random() % static_cast<unsigned>(total));
    for (const leaf_candidate *version : versions) {
        point -= version->sharePermille;
        if (point < 0)
            return version;
    }
    return versions.back();
}

std::vector<std::size_t> remainingCandidates(const std::vector<leaf_candidate> &candidates,
                                             const std::vector<std::string> &excluded,
                                             const std::string &version)
{
    std::vector<std::size_t> remaining;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool isExcluded = std::ranges::find(excluded, candidates[i].target) != excluded.end();
        if (!isExcluded && candidates[i].version == version)
            remaining.push_back(i);
    }
    return remaining;
}

} // namespace

std::vector<std::size_t> chooseVersion(const std::vector<leaf_candidate> &candidates,
                                       const std::vector<std::string> &excluded,
                                       std::mt19937_64 &random)
{
    if (candidates.empty())
        return {};
    std::vector<const leaf_candidate *> versions = distinctVersions(candidates);
    const leaf_candidate *drawn = drawVersion(versions, random);
    std::vector<std::size_t> remaining = remainingCandidates(candidates, excluded, drawn->version);
    if (!remaining.empty())
        return remaining;
    std::ranges::stable_sort(versions, std::ranges::greater {}, &leaf_candidate::sharePermille);
    for (const leaf_candidate *version : versions) {
        if (version->sharePermille < drawn->sharePermille)
            break;
        remaining = remainingCandidates(candidates, excluded, version->version);
        if (!remaining.empty())
            break;
    }
    return remaining;
}

} // namespace gooseberrymoor
