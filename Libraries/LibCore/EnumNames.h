#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Core {

/// A constant table that gives each value of an enumeration its printed name.
/// Declare one next to each `enum class` that is logged, stored or read from text.
template <typename Enum, std::size_t Size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of `value`, or "unknown" when the table lacks it. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(EnumNames<Enum, Size> const& names, Enum value)
{
    for (std::pair<Enum, std::string_view> const& entry : names) {
        if (entry.first == value)
            return entry.second;
    }
    return "unknown";
}

/// Returns the value that bears `name`, or nothing. Names are compared exactly. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(EnumNames<Enum, Size> const& names, std::string_view name)
{
    for (std::pair<Enum, std::string_view> const& entry : names) {
        if (entry.second == name)
            return entry.first;
    }
    return std::nullopt;
}

}
