#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Whether a request may be executed more than once.
enum class request_kind {
    idempotent,
    non_idempotent,
};

constexpr name_table<request_kind, 2> names(request_kind)
{
    return { { { request_kind::idempotent, "idempotent" },
               { request_kind::non_idempotent, "non_idempotent" } } };
}

} // namespace gooseberrymoor
