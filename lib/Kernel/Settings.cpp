// One schema table describes every setting; reading, checking and printing of
// defaults all follow it.

#include "bramleylock/Kernel/Settings.h"

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/AllowanceSharing.h"
#include "bramleylock/Kernel/CallerEntry.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Target/TargetChoice.h"
#include "bramleylock/Target/TargetTransport.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace bramleylock::kernel {

namespace {

enum class TextKind
{
  Name,
  TcpAddress,
  OptionalTcpAddress,
  TcpAddresses,
  File,
  Choice
};

struct TextRow
{
  const char* key;
  std::string Settings::*member;
  TextKind kind;
  /// Null when the setting has to be given.
  const char* byDefault;
  std::vector<std::string> (*choices)();
  const char* help;
};

struct NumberRow
{
  const char* key;
  std::int64_t Settings::*member;
  std::int64_t byDefault;
  std::int64_t lowest;
  std::int64_t highest;
  const char* unit;
  const char* help;
};

auto LogLevels() -> std::vector<std::string>
{
  return { "debug", "info", "warning", "error" };
}

auto LogFormats() -> std::vector<std::string>
{
  return { "text", "json" };
}

template<typename AnyRegistry>
auto NamesOf() -> std::vector<std::string>
{
  return AnyRegistry::Instance().Names();
}

const std::array<TextRow, 18> kTextRows{ {
  { "vm.name", &Settings::vmName, TextKind::Name, nullptr, nullptr,
    "name of this VM in logs and status" },
  { "vm.failure_domain", &Settings::failureDomain, TextKind::Name, nullptr,
    nullptr, "failure domain that this VM stands in" },
  { "listen.callers", &Settings::callerAddress, TextKind::TcpAddress, nullptr,
    nullptr, "ip:port for callers' datagrams" },
  { "listen.peers", &Settings::peerAddress, TextKind::TcpAddress, nullptr,
    nullptr, "ip:port for the other balancers" },
  { "listen.peers_advertised", &Settings::peerAdvertised,
    TextKind::OptionalTcpAddress, "", nullptr,
    "ip:port at which the other balancers reach listen.peers; empty for the "
    "bound address" },
  { "peers.seeds", &Settings::peerSeeds, TextKind::TcpAddresses, "", nullptr,
    "peers to ask for lists and keys while the platform does not answer" },
  { "listen.administration", &Settings::adminAddress, TextKind::TcpAddress,
    nullptr, nullptr, "ip:port of the administration API" },
  { "platform.address", &Settings::storeAddress, TextKind::TcpAddress, nullptr,
    nullptr, "ip:port of the platform's key-value service" },
  { "secrets.cluster_key_file", &Settings::clusterKeyFile, TextKind::File,
    nullptr, nullptr, "file with the 64 hexadecimal digits of the peer key" },
  { "secrets.administration_token_file", &Settings::adminTokenFile,
    TextKind::File, nullptr, nullptr,
    "file with the bearer token of the administration API" },
  { "plugins.caller_entry", &Settings::callerEntry, TextKind::Choice, "udp",
    NamesOf<CallerEntryRegistry>, "how callers' packets come in" },
  { "plugins.target_transport", &Settings::targetTransport, TextKind::Choice,
    "http1", NamesOf<target::TransportRegistry>, "protocol towards targets" },
  { "plugins.platform_store", &Settings::platformStore, TextKind::Choice,
    "http", NamesOf<lists::StoreRegistry>, "protocol of the platform" },
  { "plugins.target_choice", &Settings::targetChoice, TextKind::Choice,
    "spill-over", NamesOf<target::ChoiceRegistry>, "how a target is chosen" },
  { "plugins.admission", &Settings::admissionPolicy, TextKind::Choice, "fair",
    NamesOf<admission::AdmissionRegistry>, "how requests are admitted" },
  { "plugins.plan_limits", &Settings::planLimits, TextKind::Choice, "static",
    NamesOf<admission::SharingRegistry>,
    "how balancers share plans' rate limits" },
  { "log.level", &Settings::logLevel, TextKind::Choice, "info", LogLevels,
    "lowest level that is written" },
  { "log.format", &Settings::logFormat, TextKind::Choice, "text", LogFormats,
    "form of log records" },
} };

const std::array<NumberRow, 4> kNumberRows{ {
  { "flows.idle_seconds", &Settings::idleFlowSeconds, 600, 1, 86400, "s",
    "a flow without requests is forgotten after this time" },
  { "flows.drain_seconds", &Settings::drainSeconds, 60, 1, 3600, "s",
    "longest time that a planned stop waits for requests in flight" },
  { "listen.receive_buffer_bytes", &Settings::receiveBufferBytes, 8388608,
    65536, 1073741824, "bytes", "socket buffer for callers' datagrams" },
  { "vm.seed", &Settings::seed, 0, 0, 9223372036854775807, "",
    "seed of choices between targets; 0 takes one from the system" },
} };

auto AllAddresses(const std::string& aText) -> bool
{
  std::istringstream words(aText);
  std::string address;
  std::error_code error;
  while (!error && words >> address) {
    ParseTcpEndpoint(address, error);
  }
  return !error;
}

/// Collects faults while the rows are read.
class Reader
{
public:
  Reader(const toml::table& aTable, std::string aName,
         std::vector<std::string>& aProblems)
    : m_table(aTable)
    , m_name(std::move(aName))
    , m_problems(aProblems)
  {
  }

  auto Read(const TextRow& aRow, Settings& aSettings) -> void
  {
    const auto node = m_table.at_path(aRow.key);
    if (!node) {
      if (aRow.byDefault == nullptr) {
        m_problems.push_back(
          fmt::format("{}: {}: missing; {}", m_name, aRow.key, Allowed(aRow)));
        return;
      }
      aSettings.*aRow.member = aRow.byDefault;
      return;
    }
    const auto text = node.value<std::string>();
    if (!node.is_string() || !Acceptable(aRow, *text)) {
      Fault(node, aRow.key, Allowed(aRow));
      return;
    }
    aSettings.*aRow.member = *text;
  }

  auto Read(const NumberRow& aRow, Settings& aSettings) -> void
  {
    const auto node = m_table.at_path(aRow.key);
    if (!node) {
      aSettings.*aRow.member = aRow.byDefault;
      return;
    }
    const auto number = node.value<std::int64_t>();
    if (!node.is_integer() || *number < aRow.lowest || *number > aRow.highest) {
      Fault(node, aRow.key,
            fmt::format("allowed: {} to {} {}", aRow.lowest, aRow.highest,
                        aRow.unit));
      return;
    }
    aSettings.*aRow.member = *number;
  }

  auto RefuseUnknown(const std::set<std::string>& aKnown) -> void
  {
    for (const auto& [section, node] : m_table) {
      const auto* table = node.as_table();
      if (table == nullptr) {
        FaultAt(node, std::string(section.str()), "no such setting");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const auto path =
          std::string(section.str()) + "." + std::string(key.str());
        if (!aKnown.contains(path)) {
          FaultAt(value, path, "no such setting");
        }
      }
    }
  }

private:
  static auto Allowed(const TextRow& aRow) -> std::string
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
      case TextKind::Name:
        return "allowed: a name of 1 to 64 characters";
      case TextKind::Choice:
        break;
    }
    return fmt::format("allowed: {}", fmt::join(aRow.choices(), ", "));
  }

  static auto Acceptable(const TextRow& aRow, const std::string& aText) -> bool
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
        return AllAddresses(aText);
      case TextKind::File:
        return !aText.empty();
      case TextKind::Name:
        return !aText.empty() && aText.size() <= 64;
      case TextKind::Choice:
        break;
    }
    const auto choices = aRow.choices();
    return std::find(choices.begin(), choices.end(), aText) != choices.end();
  }

  template<typename Node>
  auto Fault(const Node& aNode, const std::string& aKey,
             const std::string& aAllowed) -> void
  {
    FaultAt(*aNode.node(), aKey, aAllowed);
  }

  auto FaultAt(const toml::node& aNode, const std::string& aKey,
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

/// The parser's tables of letters are wrong for some inputs outside ASCII, on
/// which its behaviour is undefined, so such files are refused first.
static auto RefuseOtherThanAscii(const std::string& aText,
                                 const std::string& aName,
                                 std::vector<std::string>& aProblems) -> void
{
  int line = 1;
  for (const char letter : aText) {
    line += letter == '\n' ? 1 : 0;
    if (static_cast<unsigned char>(letter) >= 0x80) {
      aProblems.push_back(
        fmt::format("{}:{}: found byte 0x{:02x}; allowed: ASCII characters",
                    aName, line, static_cast<unsigned char>(letter)));
      return;
    }
  }
}

auto ParseSettings(const std::string& aText, const std::string& aName,
                   std::error_code& aError, std::vector<std::string>& aProblems)
  -> Settings
{
  Settings settings;
  RefuseOtherThanAscii(aText, aName, aProblems);
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
  Reader reader(table, aName, aProblems);
  std::set<std::string> known;
  for (const auto& row : kTextRows) {
    known.insert(row.key);
    reader.Read(row, settings);
  }
  for (const auto& row : kNumberRows) {
    known.insert(row.key);
    reader.Read(row, settings);
  }
  reader.RefuseUnknown(known);
  aError = aProblems.empty() ? std::error_code{}
                             : make_error_code(SettingsError::Invalid);
  return settings;
}

auto LoadSettings(const std::string& aFile, std::error_code& aError,
                  std::vector<std::string>& aProblems) -> Settings
{
  std::ifstream file(aFile);
  if (!file) {
    aError = SettingsError::Unreadable;
    aProblems.push_back(fmt::format("{}: cannot be opened", aFile));
    return {};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aFile, aError, aProblems);
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
  for (const auto& row : kTextRows) {
    const auto choices =
      row.choices == nullptr
        ? std::string()
        : fmt::format(" ({})", fmt::join(row.choices(), ", "));
    add(row.key, row.help + choices,
        row.byDefault == nullptr ? "\"\"  # required"
                                 : fmt::format("\"{}\"", row.byDefault));
  }
  for (const auto& row : kNumberRows) {
    add(row.key,
        fmt::format("{} ({} to {} {})", row.help, row.lowest, row.highest,
                    row.unit),
        std::to_string(row.byDefault));
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
