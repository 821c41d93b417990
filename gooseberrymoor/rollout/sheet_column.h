#pragma once

#include "gooseberrymoor/base/name_table.h"

namespace gooseberrymoor {

// The columns of the planners' sheet. The header of a sheet gives their order.
enum class sheet_column {
    service,
    kind,
    from,
    to,
    begin,
    finish_by,
};

constexpr name_table<sheet_column, 6> names(sheet_column)
{
    return { { { sheet_column::service, "service" },
               { sheet_column::kind, "kind" },
               { sheet_column::from, "from" },
               { sheet_column::to, "to" },
               { sheet_column::begin, "begin" },
               { sheet_column::finish_by, "finish_by" } } };
}

} // namespace gooseberrymoor
