#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <string>

namespace gooseberrymoor {

// Why a move was rolled back.
enum class rollback_reason {
    none,
    errors, // the new version fails more often than the old one
    latency, // the new version is slower than the old one
    blocked, // an operator blocked the version
    operator_change, // an operator reverted the change of the move
    configuration, // the configuration lacks the service or a version of the move
};

constexpr name_table<rollback_reason, 6> names(rollback_reason)
{
    return { { { rollback_reason::none, "none" },
               { rollback_reason::errors, "errors" },
               { rollback_reason::latency, "latency" },
               { rollback_reason::blocked, "blocked" },
               { rollback_reason::operator_change, "operator_change" },
               { rollback_reason::configuration, "configuration" } } };
}

// Why a move was rolled back, with details for operators. Value type.
struct rollback_cause
{
    rollback_reason reason = rollback_reason::none;
    std::string route; // empty if all routes together
    std::string detail;

    bool operator==(const rollback_cause &) const = default;
};

} // namespace gooseberrymoor
