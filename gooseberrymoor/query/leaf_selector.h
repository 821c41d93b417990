#pragma once

#include "gooseberrymoor/query/leaf_candidate.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Chooses the target that a leaf request goes to. Not thread-safe.
class leaf_selector
{
public:
    virtual ~leaf_selector() = default;

    // Index into `candidates` of one that is not in `excluded`; nothing if all are.
    virtual std::optional<std::size_t> choose(const std::string &service,
                                              const std::vector<leaf_candidate> &candidates,
                                              const std::set<std::string> &excluded)
        = 0;

    // A request was sent to `target` ("service/name").
    virtual void onSent(const std::string &target) = 0;

    // A request sent to `target` has ended.
    virtual void onEnded(const std::string &target) = 0;
};

} // namespace gooseberrymoor
