// Findings about a configuration, and their output.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "bramleylock/Support/Names.h"

namespace bramleylock::check {

enum class Severity
{
  /// A difference from the version in force without risk for open flows.
  Note,
  Warning,
  Error
};

inline constexpr std::array<NameRow<Severity>, 3> kSeverityNames{ {
  { Severity::Note, "note" },
  { Severity::Warning, "warning" },
  { Severity::Error, "error" },
} };

/// Place in the text of a configuration.
struct Position
{
  /// Counted from 1; 0 if no line applies.
  std::size_t line = 0;
  /// Path of the key, such as "routes[3].name"; empty if no key applies.
  std::string key;
};

struct Finding
{
  Severity severity = Severity::Error;
  Position position;
  std::string message;
  /// Name of the file that contains the position.
  std::string file;
};

/// Returns 2 if there are errors, 1 if there are warnings only, and 0
/// otherwise. Notes have no influence.
auto ExitStatusOf(const std::vector<Finding>& aFindings) -> int;

/// Formats one finding on each line, as "file:line: severity: key: message".
/// Control characters are replaced, because strings of the configuration may
/// contain line breaks.
auto FormatAsText(const std::vector<Finding>& aFindings) -> std::string;

/// Formats the findings as one line of JSON.
auto FormatAsJson(const std::vector<Finding>& aFindings) -> std::string;

} // namespace bramleylock::check
