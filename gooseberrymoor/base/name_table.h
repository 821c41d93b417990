#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace gooseberrymoor {

// Maps the enumerators of an `enum class` to their names. Each enumeration provides its table
// through an overload of `names(E)`, which is found by argument-dependent lookup.
template <typename E, std::size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of `value`, or "unknown" if the table does not contain it.
template <typename E> constexpr std::string_view nameOf(E value)
{
    for (const auto &[candidate, name] : names(E {})) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

// Returns the enumerator named `name`, or nothing if there is none.
template <typename E> constexpr std::optional<E> fromName(std::string_view name)
{
    for (const auto &[candidate, candidateName] : names(E {})) {
        if (candidateName == name)
            return candidate;
    }
    return std::nullopt;
}

} // namespace gooseberrymoor
