#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// Why a process ended by itself.
enum class crash_reason {
    assertion,
    uncaught_exception,
    fatal_signal,
};

constexpr name_table<crash_reason, 3> names(crash_reason)
{
    return { { { crash_reason::assertion, "assertion" },
               { crash_reason::uncaught_exception, "uncaught_exception" },
               { crash_reason::fatal_signal, "fatal_signal" } } };
}

} // namespace gooseberrymoor
