#pragma once

#include "gooseberrymoor/base/name_table.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace gooseberrymoor {

// The type of a setting's value.
enum class setting_kind {
    name,
    endpoint,
    endpoint_list,
    optional_endpoint_list, // "none" means an empty list
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

// Definition of one setting. A setting with an empty default is required. The range applies to
// numbers only.
struct setting_definition
{
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    std::string_view defaultValue;
    std::int64_t minValue;
    std::int64_t maxValue;
    std::string_view unit;
    std::string_view description;
};

// The definitions of all node settings, in the order of docs/SETTINGS.md.
std::span<const setting_definition> settingDefinitions();

} // namespace gooseberrymoor
