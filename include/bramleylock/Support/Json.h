// Parsing of JSON that other programs wrote.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace bramleylock {

/// Limit on the nesting depth of foreign JSON. The lists are the deepest
/// documents, with six levels.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Returns whether aText is nested deeper than kMaxJsonDepth. Allocates
/// nothing.
auto ExceedsMaxJsonDepth(const std::string& aText) -> bool;

/// Parses aText. Returns a discarded value, which has no type, if the text is
/// malformed, has a number that a double cannot represent, or is nested deeper
/// than kMaxJsonDepth.
auto ParseForeignJson(const std::string& aText) -> nlohmann::json;

/// Formats the beginning of aValue, which must come from ParseForeignJson, for
/// a log record.
auto FormatJsonExcerpt(const nlohmann::json& aValue) -> std::string;

/// Reads a string field. Returns an empty string if aObject is no object, or
/// the field is missing or has another type.
auto StringField(const nlohmann::json& aObject, const char* aName)
  -> std::string;

/// Reads a Boolean field. Returns false if aObject is no object, or the field
/// is missing or has another type.
auto BooleanField(const nlohmann::json& aObject, const char* aName) -> bool;

} // namespace bramleylock
