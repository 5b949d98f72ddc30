// Formats findings and computes the exit status from them.

#include "bramleylock/Check/Finding.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::check {

static auto CountOf(const std::vector<Finding>& aFindings, Severity aSeverity)
  -> std::ptrdiff_t
{
  return std::count_if(aFindings.begin(), aFindings.end(),
                       [aSeverity](const Finding& aFinding) {
                         return aFinding.severity == aSeverity;
                       });
}

auto ExitStatusOf(const std::vector<Finding>& aFindings) -> int
{
  if (CountOf(aFindings, Severity::Error) > 0) {
    return 2;
  }
  return CountOf(aFindings, Severity::Warning) > 0 ? 1 : 0;
}

auto FormatAsText(const std::vector<Finding>& aFindings) -> std::string
{
  std::string text;
  for (const auto& finding : aFindings) {
    auto line =
      fmt::format("{}:{}: {}: {}: {}", finding.file, finding.position.line,
                  NameOf(kSeverityNames, finding.severity),
                  finding.position.key.empty() ? "-" : finding.position.key,
                  finding.message);
    std::replace_if(
      line.begin(), line.end(),
      [](char aCharacter) {
        const auto code = static_cast<unsigned char>(aCharacter);
        return code < 0x20 || code == 0x7f;
      },
      '?');
    text += line + "\n";
  }
  return text;
}

auto FormatAsJson(const std::vector<Finding>& aFindings) -> std::string
{
  using nlohmann::json;
  auto rows = json::array();
  for (const auto& finding : aFindings) {
    rows.push_back({ { "file", finding.file },
                     { "line", finding.position.line },
                     { "severity", NameOf(kSeverityNames, finding.severity) },
                     { "key", finding.position.key },
                     { "message", finding.message } });
  }
  const json report{ { "errors", CountOf(aFindings, Severity::Error) },
                     { "warnings", CountOf(aFindings, Severity::Warning) },
                     { "findings", std::move(rows) } };
  return report.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace bramleylock::check
