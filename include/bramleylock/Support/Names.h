// Tables of the enumerators' names in logs, settings and messages.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace bramleylock {

/// One row of a name table.
template<typename Enum>
using NameRow = std::pair<Enum, std::string_view>;

/// Returns the name of aValue in aTable, or "unknown" when it has no row.
template<typename Enum, std::size_t Size>
constexpr auto NameOf(const std::array<NameRow<Enum>, Size>& aTable,
                      Enum aValue) -> std::string_view
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/// Returns the enumerator with the name aName in aTable, or nothing when there
/// is none.
template<typename Enum, std::size_t Size>
constexpr auto ValueOf(const std::array<NameRow<Enum>, Size>& aTable,
                       std::string_view aName) -> std::optional<Enum>
{
  for (const auto& [value, name] : aTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace bramleylock
