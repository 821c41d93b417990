#pragma once

#include "gooseberrymoor/rollout/rollback_cause.h"

#include <cstdint>

namespace gooseberrymoor {

// What the evidence says about a new version beside the old one. Value type.
struct version_comparison
{
    bool bad = false; // the new version is worse; `cause` says in what
    bool doubtful = false; // not bad yet, but its share should not grow now
    rollback_cause cause;
    std::uint64_t requests = 0; // of the new version since the time that was asked for
};

} // namespace gooseberrymoor
