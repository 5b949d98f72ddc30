// Reads and validates settings and prints their defaults, all by the schema.

#include "SettingsSchema.h"

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Files.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace bramleylock::kernel {

namespace {

auto AreTcpAddresses(const std::string& aText) -> bool
{
  std::istringstream stream(aText);
  std::string address;
  std::error_code error;
  while (!error && stream >> address) {
    ParseTcpEndpoint(address, error);
  }
  return !error;
}

/// Reads settings by the rows of the schema and collects problems.
class SettingsReader
{
public:
  SettingsReader(const toml::table& aTable, std::string aName,
                 std::vector<std::string>& aProblems)
    : m_table(aTable)
    , m_name(std::move(aName))
    , m_problems(aProblems)
  {
  }

  auto Read(const TextSetting& aRow, Settings& aSettings) -> void
  {
    const auto node = m_table.at_path(aRow.key);
    if (!node) {
      if (aRow.defaultValue == nullptr && IsRequired(aRow, aSettings)) {
        m_problems.push_back(fmt::format("{}: {}: missing; {}", m_name,
                                         aRow.key, DescribeAllowed(aRow)));
        return;
      }
      aSettings.*aRow.member =
        aRow.defaultValue == nullptr ? "" : aRow.defaultValue;
      return;
    }
    const auto text = node.value<std::string>();
    if (!node.is_string() || !IsValid(aRow, *text)) {
      AddProblem(node, aRow.key, DescribeAllowed(aRow));
      return;
    }
    aSettings.*aRow.member = *text;
  }

  auto Read(const NumberSetting& aRow, Settings& aSettings) -> void
  {
    ReadInRange(aRow, aSettings, [](const auto& aNode) {
      return aNode.is_integer() ? aNode.template value<std::int64_t>()
                                : std::nullopt;
    });
  }

  auto Read(const DecimalSetting& aRow, Settings& aSettings) -> void
  {
    ReadInRange(aRow, aSettings, [](const auto& aNode) {
      return aNode.is_number() ? aNode.template value<double>() : std::nullopt;
    });
  }

  /// Requires certificate and key together. Without them, allows only loopback
  /// addresses unless plain HTTP is allowed anywhere, because the token of the
  /// administration API would be sent over the network unencrypted.
  auto CheckAdministrationTls(const Settings& aSettings) -> void
  {
    const bool certificate = !aSettings.adminCertificateFile.empty();
    const bool key = !aSettings.adminKeyFile.empty();
    if (certificate != key) {
      AddProblem(m_table.at_path(certificate ? "administration.certificate_file"
                                             : "administration.key_file"),
                 certificate ? "administration.certificate_file"
                             : "administration.key_file",
                 "allowed: only if certificate_file and key_file are both set");
      return;
    }
    std::error_code error;
    const auto address = ParseTcpEndpoint(aSettings.adminAddress, error);
    if (!error && !certificate && !address.address().is_loopback() &&
        aSettings.adminPlainHttp == "loopback") {
      AddProblem(m_table.at_path("listen.administration"),
                 "listen.administration",
                 "allowed without TLS: a loopback address; or set "
                 "administration.certificate_file and key_file, or "
                 "administration.plain_http = \"anywhere\"");
    }
  }

  auto RejectUnknownKeys(const std::set<std::string>& aKnownKeys) -> void
  {
    for (const auto& [section, node] : m_table) {
      const auto* table = node.as_table();
      if (table == nullptr) {
        AddProblemAt(node, std::string(section.str()), "no such setting");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const auto path =
          std::string(section.str()) + "." + std::string(key.str());
        if (!aKnownKeys.contains(path)) {
          AddProblemAt(value, path, "no such setting");
        }
      }
    }
  }

private:
  static auto DescribeAllowed(const TextSetting& aRow) -> std::string
  {
    switch (aRow.kind) {
      case TextKind::TcpAddress:
        return "allowed: \"ip:port\"";
      case TextKind::OptionalTcpAddress:
        return "allowed: \"ip:port\" or empty";
      case TextKind::TcpAddresses:
        return "allowed: \"ip:port ip:port ...\"";
      case TextKind::File:
        return "allowed: a file path";
      case TextKind::OptionalFile:
        return "allowed: a file path or empty";
      case TextKind::Name:
        return "allowed: a name of 1 to 64 characters";
      case TextKind::Choice:
        break;
    }
    return fmt::format("allowed: {}", fmt::join(aRow.choices(), ", "));
  }

  /// Reads a number with aValueOf, which returns an empty value for a node of
  /// another type.
  template<typename Row, typename ValueOf>
  auto ReadInRange(const Row& aRow, Settings& aSettings, ValueOf aValueOf)
    -> void
  {
    const auto node = m_table.at_path(aRow.key);
    if (!node) {
      aSettings.*aRow.member = aRow.defaultValue;
      return;
    }
    const auto number = aValueOf(node);
    // The negated form also rejects a decimal that is not a number.
    if (!number || !(*number >= aRow.minimum && *number <= aRow.maximum)) {
      AddProblem(node, aRow.key,
                 fmt::format("allowed: {} to {} {}", aRow.minimum, aRow.maximum,
                             aRow.unit));
      return;
    }
    aSettings.*aRow.member = *number;
  }

  static auto IsRequired(const TextSetting& aRow, const Settings& aSettings)
    -> bool
  {
    return aRow.dataPath == nullptr || aSettings.dataPath == aRow.dataPath;
  }

  static auto IsValid(const TextSetting& aRow, const std::string& aText) -> bool
  {
    std::error_code error;
    switch (aRow.kind) {
      case TextKind::TcpAddress:
        ParseTcpEndpoint(aText, error);
        return !error;
      case TextKind::OptionalTcpAddress:
        ParseTcpEndpoint(aText, error);
        return aText.empty() || !error;
      case TextKind::TcpAddresses:
        return AreTcpAddresses(aText);
      case TextKind::File:
        return !aText.empty();
      case TextKind::OptionalFile:
        return true;
      case TextKind::Name:
        return !aText.empty() && aText.size() <= 64;
      case TextKind::Choice:
        break;
    }
    const auto choices = aRow.choices();
    return std::find(choices.begin(), choices.end(), aText) != choices.end();
  }

  template<typename Node>
  auto AddProblem(const Node& aNode, const std::string& aKey,
                  const std::string& aAllowed) -> void
  {
    AddProblemAt(*aNode.node(), aKey, aAllowed);
  }

  auto AddProblemAt(const toml::node& aNode, const std::string& aKey,
                    const std::string& aAllowed) -> void
  {
    std::ostringstream found;
    aNode.visit([&found](const auto& aValue) { found << aValue; });
    m_problems.push_back(fmt::format("{}:{}: {}: found {}; {}", m_name,
                                     aNode.source().begin.line, aKey,
                                     found.str(), aAllowed));
  }

  const toml::table& m_table;
  std::string m_name;
  std::vector<std::string>& m_problems;
};

} // namespace

/// Rejects text that is not ASCII. The parser's character tables are wrong for
/// some characters outside ASCII, and its behaviour on them is undefined.
static auto RejectNonAscii(const std::string& aText, const std::string& aName,
                           std::vector<std::string>& aProblems) -> void
{
  int line = 1;
  for (const char character : aText) {
    line += character == '\n' ? 1 : 0;
    if (static_cast<unsigned char>(character) >= 0x80) {
      aProblems.push_back(
        fmt::format("{}:{}: found byte 0x{:02x}; allowed: ASCII characters",
                    aName, line, static_cast<unsigned char>(character)));
      return;
    }
  }
}

auto ParseSettings(const std::string& aText, const std::string& aName,
                   std::error_code& aError, std::vector<std::string>& aProblems)
  -> Settings
{
  Settings settings;
  RejectNonAscii(aText, aName, aProblems);
  if (!aProblems.empty()) {
    aError = SettingsError::Syntax;
    return settings;
  }
  toml::table table;
  try {
    table = toml::parse(aText, aName);
  } catch (const toml::parse_error& failure) {
    aProblems.push_back(fmt::format(
      "{}:{}: {}", aName, failure.source().begin.line, failure.description()));
    aError = SettingsError::Syntax;
    return settings;
  }
  SettingsReader settingsReader(table, aName, aProblems);
  std::set<std::string> knownKeys;
  for (const auto& row : TextSettings()) {
    knownKeys.insert(row.key);
    settingsReader.Read(row, settings);
  }
  for (const auto& row : NumberSettings()) {
    knownKeys.insert(row.key);
    settingsReader.Read(row, settings);
  }
  for (const auto& row : DecimalSettings()) {
    knownKeys.insert(row.key);
    settingsReader.Read(row, settings);
  }
  settingsReader.CheckAdministrationTls(settings);
  settingsReader.RejectUnknownKeys(knownKeys);
  aError = aProblems.empty() ? std::error_code{}
                             : make_error_code(SettingsError::Invalid);
  return settings;
}

auto LoadSettings(const std::string& aFile, std::error_code& aError,
                  std::vector<std::string>& aProblems) -> Settings
{
  const auto text = ReadFile(aFile);
  if (!text) {
    aError = SettingsError::Unreadable;
    aProblems.push_back(fmt::format("{}: cannot be opened", aFile));
    return {};
  }
  return ParseSettings(*text, aFile, aError, aProblems);
}

auto DefaultSettingsText() -> std::string
{
  std::map<std::string, std::string> sections;
  const auto add = [&sections](const std::string& aKey,
                               const std::string& aComment,
                               const std::string& aLine) {
    const auto dot = aKey.find('.');
    sections[aKey.substr(0, dot)] +=
      fmt::format("# {}\n{} = {}\n", aComment, aKey.substr(dot + 1), aLine);
  };
  for (const auto& row : TextSettings()) {
    const auto choices =
      row.choices == nullptr
        ? std::string()
        : fmt::format(" ({})", fmt::join(row.choices(), ", "));
    add(row.key, row.help + choices,
        row.defaultValue == nullptr
          ? (row.dataPath == nullptr
               ? std::string("\"\"  # required")
               : fmt::format("\"\"  # required for {}", row.dataPath))
          : fmt::format("\"{}\"", row.defaultValue));
  }
  const auto addNumber = [&add](const auto& aRow) {
    add(aRow.key,
        fmt::format("{} ({} to {} {})", aRow.help, aRow.minimum, aRow.maximum,
                    aRow.unit),
        fmt::format("{}", aRow.defaultValue));
  };
  for (const auto& row : NumberSettings()) {
    addNumber(row);
  }
  for (const auto& row : DecimalSettings()) {
    addNumber(row);
  }
  std::string text;
  for (const auto& [section, lines] : sections) {
    text += fmt::format("[{}]\n{}\n", section, lines);
  }
  return text;
}

auto ReadSecretFile(const std::string& aFile, std::error_code& aError)
  -> std::string
{
  std::ifstream file(aFile);
  std::string secret;
  if (!file || !std::getline(file, secret) || secret.empty()) {
    aError = SettingsError::Unreadable;
    return {};
  }
  aError.clear();
  return secret;
}

} // namespace bramleylock::kernel
