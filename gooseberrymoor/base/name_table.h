#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace gooseberrymoor {

// A table of the names of an `enum class`, one row an enumerator. Each enumeration offers one
// through an overload of `names(E)`, found by argument-dependent look-up.
template <typename E, std::size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of `value`, or "unknown" if its table has no row for it.
template <typename E> constexpr std::string_view nameOf(E value)
{
    for (const auto &[candidate, name] : names(E {})) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

// Returns the enumerator called `name`, or nothing.
template <typename E> constexpr std::optional<E> fromName(std::string_view name)
{
    for (const auto &[candidate, candidateName] : names(E {})) {
        if (candidateName == name)
            return candidate;
    }
    return std::nullopt;
}

} // namespace gooseberrymoor
