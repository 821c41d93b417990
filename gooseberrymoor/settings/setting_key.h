#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace gooseberrymoor {

// How the text of a setting is read.
enum class setting_kind {
    name,
    endpoint,
    endpoint_list,
    optional_endpoint_list, // "none" is empty
    number,
};

constexpr name_table<setting_kind, 5> names(setting_kind)
{
    return { { { setting_kind::name, "name" },
               { setting_kind::endpoint, "endpoint" },
               { setting_kind::endpoint_list, "endpoint_list" },
               { setting_kind::optional_endpoint_list, "optional_endpoint_list" },
               { setting_kind::number, "number" } } };
}

// One row of the table of all settings. Without a default a setting is required.
struct setting_key
{
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    std::string_view defaultValue;
    std::int64_t lowest;
    std::int64_t highest;
    std::string_view unit;
    std::string_view meaning;
};

// All settings of a node, in the order of the page docs/SETTINGS.md.
std::span<const setting_key> settingKeys();

} // namespace gooseberrymoor
