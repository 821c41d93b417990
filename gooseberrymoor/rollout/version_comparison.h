#pragma once

#include "gooseberrymoor/rollout/rollback_cause.h"

#include <cstdint>

namespace gooseberrymoor {

// The result of comparing a new version with the old one. Value type.
struct version_comparison
{
    bool bad = false; // the new version is worse; see `cause`
    bool doubtful = false; // the evidence is not sufficient for `bad`, but the share must not grow
    rollback_cause cause;
    std::uint64_t requests = 0; // of the new version since `comparison_request::countFrom`
};

} // namespace gooseberrymoor
