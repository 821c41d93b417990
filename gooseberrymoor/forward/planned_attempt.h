#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace gooseberrymoor {

struct known_replica;

// Why a request is sent to a target.
enum class send_reason {
    first,
    retry,
    hedge,
};

constexpr name_table<send_reason, 3> names(send_reason)
{
    return { { { send_reason::first, "first" },
               { send_reason::retry, "retry" },
               { send_reason::hedge, "hedge" } } };
}

// A request to a target, to be sent on behalf of a `request_run`. Value type.
struct planned_attempt
{
    std::size_t shard = 0;
    std::uint64_t attempt = 0; // unique within the run
    std::shared_ptr<known_replica> target;
    send_reason reason = send_reason::first;
};

} // namespace gooseberrymoor
