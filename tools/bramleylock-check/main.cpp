// bramleylock-check: checks the operators' configuration before it is sent.

#include "bramleylock/Check/ConfigurationCheck.h"
#include "bramleylock/Support/Files.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace {

/// The other exit codes are those of check::ExitStatusOf.
enum ExitCode
{
  Success = 0,
  UsageError = 64
};

} // namespace

static constexpr const char* kHelpFooter = R"(
Examples:
  bramleylock-check new.json
  bramleylock-check new.json --in-force current.json --format json

Text output has one finding on each line, as file:line: severity: key: message.
Severities: an error is rejected, skipped or ignored by balancers, a warning
needs attention, a note is a difference from the version in force.
Exit codes: 0 no errors or warnings, 1 warnings only, 2 errors, 64 wrong command
line.
)";

/// Reads aFile. Returns false if balancers would reject it.
static auto Load(const std::string& aFile,
                 bramleylock::check::Configuration& aConfiguration,
                 std::vector<bramleylock::check::Finding>& aFindings) -> bool
{
  using namespace bramleylock;
  std::error_code error;
  const auto text = std::filesystem::is_directory(aFile, error)
                      ? std::nullopt
                      : ReadFile(aFile);
  if (!text) {
    aFindings.push_back(
      { check::Severity::Error, {}, "the file cannot be read", aFile });
    return false;
  }
  const auto& readers = check::ConfigurationReaderRegistry::Instance();
  // A build contains one platform.
  const auto reader = readers.Create(readers.Names().at(0));
  const bool usable = reader->Read(*text, aConfiguration, aFindings);
  for (auto& finding : aFindings) {
    finding.file = aFile;
  }
  return usable;
}

static auto Check(const std::string& aFile, const std::string& aInForceFile,
                  std::uint64_t aLongestFlowMs)
  -> std::vector<bramleylock::check::Finding>
{
  using namespace bramleylock;
  check::Configuration configuration;
  std::vector<check::Finding> findings;
  const bool usable = Load(aFile, configuration, findings);
  check::CheckConfiguration(configuration, aLongestFlowMs, findings);
  std::vector<check::Finding> inForceFindings;
  if (!aInForceFile.empty()) {
    check::Configuration inForce;
    if (!Load(aInForceFile, inForce, inForceFindings)) {
      // Only the findings because of which there is no comparison.
      std::erase_if(inForceFindings, [](const check::Finding& aFinding) {
        return aFinding.severity != check::Severity::Error;
      });
    } else {
      inForceFindings.clear();
      if (usable) {
        check::CompareWithInForce(configuration, inForce.routeSet, findings);
      }
    }
  }
  for (auto& finding : findings) {
    finding.file = aFile;
  }
  std::stable_sort(
    findings.begin(), findings.end(),
    [](const check::Finding& aFirst, const check::Finding& aSecond) {
      return aFirst.position.line < aSecond.position.line;
    });
  findings.insert(findings.end(), inForceFindings.begin(),
                  inForceFindings.end());
  return findings;
}

auto main(int argc, char** argv) -> int
{
  using namespace bramleylock;
  cxxopts::Options options("bramleylock-check",
                           "Checks a configuration before it is sent.");
  options.positional_help("FILE");
  options.add_options()("file", "configuration to check",
                        cxxopts::value<std::vector<std::string>>())(
    "in-force", "configuration in force, for the differences",
    cxxopts::value<std::string>()->default_value(""))(
    "longest-flow-seconds", "maximum lifetime of a flow",
    cxxopts::value<std::uint32_t>()->default_value("60"))(
    "format", "text or json",
    cxxopts::value<std::string>()->default_value("text"))(
    "version", "print the version")("help", "print this help");
  options.parse_positional("file");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelpFooter;
      return Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bramleylock-check " BRAMLEYLOCK_VERSION "\n";
      return Success;
    }
    const auto format = parsed["format"].as<std::string>();
    const auto longestFlowSeconds =
      parsed["longest-flow-seconds"].as<std::uint32_t>();
    if (parsed.count("file") != 1 || longestFlowSeconds == 0 ||
        (format != "text" && format != "json")) {
      std::cerr << "bramleylock-check: give one FILE, --format text or json "
                   "and --longest-flow-seconds above 0; see --help\n";
      return UsageError;
    }
    const auto findings =
      Check(parsed["file"].as<std::vector<std::string>>().front(),
            parsed["in-force"].as<std::string>(),
            std::uint64_t{ longestFlowSeconds } * 1000);
    std::cout << (format == "json" ? check::FormatAsJson(findings)
                                   : check::FormatAsText(findings));
    return check::ExitStatusOf(findings);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylock-check: " << failure.what() << "; see --help\n";
    return UsageError;
  }
}
