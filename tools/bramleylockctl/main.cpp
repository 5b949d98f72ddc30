// bramleylockctl: shows and edits the two lists, and shows balancers.

#include "tools/bramleylockctl/BalancerCommands.h"
#include "tools/bramleylockctl/ListCommands.h"

#include "bramleylock/Kernel/Settings.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <iostream>

using namespace bramleylock;
using namespace bramleylock::ctl;

namespace {

struct Command
{
  const char* name;
  std::size_t argumentCount;
  int (*run)(const CommandContext&);
  const char* usage;
};

} // namespace

static const std::array<Command, 13> kCommands{ {
  { "lists show", 2, ShowLists, "lists show" },
  { "lists apply", 3, ApplyFile, "lists apply FILE" },
  { "lists diff", 3, DiffFile, "lists diff FILE" },
  { "lists set", 4, SetField, "lists set PATH VALUE" },
  { "lists remove", 3, RemoveEntry, "lists remove PATH" },
  { "lists history", 2, ShowHistory, "lists history" },
  { "status", 1, ShowStatus, "status" },
  { "targets", 1, ShowTargets, "targets" },
  { "target", 2, ShowTarget, "target ID" },
  { "counters", 1, ShowCounters, "counters" },
  { "drain", 1, StartDrain, "drain" },
  { "keys rotate", 2, RotateKeys, "keys rotate" },
  { "credential", 2, NewCredential, "credential PLAN" },
} };

static constexpr const char* kHelpFooter = R"(
Examples:
  bramleylockctl --server 10.0.0.1:7402 --token-file admin.token lists show
  bramleylockctl --server A --server B ... lists set plans/clubes/weight 2
  bramleylockctl ... lists apply lists.json
  bramleylockctl ... --json status
  bramleylockctl --server 10.0.0.1:7402 --ca ca.pem --token-file admin.token status
  bramleylockctl --server 10.0.0.1:9464 --plain-http target b-001

On the forwarding path 'status', 'targets' and 'counters' go to the metrics
address of a balancer, which takes no token.

With several --server, edits go through the first that answers, and the command
waits until the edit is in force on all of them. An edit whose answer was lost is
retried with the same id, so that it is written at most once. 'credential' needs no server.
Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with
another change of the same entries, 4 accepted but not yet in force everywhere.
)";

static auto RunCommand(CommandContext& aContext) -> int
{
  for (const auto& command : kCommands) {
    std::string name = aContext.arguments.empty() ? "" : aContext.arguments[0];
    if (std::string(command.name).find(' ') != std::string::npos &&
        aContext.arguments.size() > 1) {
      name += " " + aContext.arguments[1];
    }
    if (name != command.name) {
      continue;
    }
    if (aContext.arguments.size() != command.argumentCount) {
      fmt::print(stderr, "usage: bramleylockctl [OPTIONS] {}\n", command.usage);
      return UsageError;
    }
    return command.run(aContext);
  }
  fmt::print(stderr, "bramleylockctl: unknown command; available commands:\n");
  for (const auto& command : kCommands) {
    fmt::print(stderr, "  {}\n", command.usage);
  }
  return UsageError;
}

static auto MakeOptions() -> cxxopts::Options
{
  cxxopts::Options options("bramleylockctl",
                           "Shows and edits the lists, and shows balancers.");
  options.add_options()("server", "ip:port of an administration API",
                        cxxopts::value<std::vector<std::string>>())(
    "token-file", "file with the bearer token",
    cxxopts::value<std::string>()->default_value(""))(
    "ca", "file with trusted certificates in PEM; the calls then use TLS",
    cxxopts::value<std::string>()->default_value(""))(
    "plain-http",
    "allow plain HTTP to servers other than loopback; sends the token in "
    "the clear")("wait-ms",
                 "maximum time in ms to wait until an edit is in force",
                 cxxopts::value<int>()->default_value("4000"))(
    "base",
    "file with the lists from which the file of 'lists apply' was edited",
    cxxopts::value<std::string>()->default_value(""))(
    "dry-run", "show what an edit would change, and write nothing")(
    "json", "print JSON")("version", "print the version")(
    "help", "print this help")("words", "command",
                               cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  options.positional_help("COMMAND ...");
  return options;
}

static auto AreAllLoopback(const std::vector<std::string>& aServers) -> bool
{
  return std::all_of(
    aServers.begin(), aServers.end(), [](const std::string& aServer) {
      std::error_code error;
      return ParseTcpEndpoint(aServer, error).address().is_loopback();
    });
}

/// Sets up TLS. Without --ca, servers other than loopback require --plain-http,
/// because the token is then sent unencrypted.
static auto SetUpTls(const cxxopts::ParseResult& aParsed,
                     CommandContext& aContext) -> int
{
  const auto file = aParsed["ca"].as<std::string>();
  if (file.empty()) {
    if (aParsed.count("plain-http") != 0 || AreAllLoopback(aContext.servers)) {
      return Success;
    }
    std::cerr << "bramleylockctl: a --server is not on loopback: give --ca "
                 "FILE, or --plain-http to send the token in the clear\n";
    return UsageError;
  }
  std::error_code error;
  aContext.tls = http::MakeClientTls(file, error);
  if (error) {
    std::cerr << "bramleylockctl: --ca " << file
              << ": expected certificates in PEM: " << error.message() << "\n";
    return UsageError;
  }
  return Success;
}

/// Reads the command line and the token file. Returns the exit code of the
/// program when it is not Success.
static auto ReadContext(const cxxopts::ParseResult& aParsed,
                        CommandContext& aContext) -> int
{
  if (aParsed.count("words") != 0) {
    aContext.arguments = aParsed["words"].as<std::vector<std::string>>();
  }
  aContext.json = aParsed.count("json") != 0;
  aContext.dryRun = aParsed.count("dry-run") != 0;
  aContext.baseFile = aParsed["base"].as<std::string>();
  aContext.waitMs = aParsed["wait-ms"].as<int>();
  const bool local =
    !aContext.arguments.empty() && aContext.arguments[0] == "credential";
  if (local) {
    return Success;
  }
  if (aParsed.count("server") == 0) {
    std::cerr << "bramleylockctl: --server is required; see --help\n";
    return UsageError;
  }
  aContext.servers = aParsed["server"].as<std::vector<std::string>>();
  const auto tokenFile = aParsed["token-file"].as<std::string>();
  if (tokenFile.empty()) {
    // The metrics address of the forwarding path needs no token.
    return SetUpTls(aParsed, aContext);
  }
  std::error_code error;
  aContext.token = kernel::ReadSecretFile(tokenFile, error);
  if (error) {
    std::cerr << "bramleylockctl: --token-file cannot be read\n";
    return UsageError;
  }
  return SetUpTls(aParsed, aContext);
}

auto main(int argc, char** argv) -> int
{
  auto options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelpFooter;
      return Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bramleylockctl " BRAMLEYLOCK_VERSION "\n";
      return Success;
    }
    if (sodium_init() < 0) {
      return Failure;
    }
    CommandContext context;
    const auto code = ReadContext(parsed, context);
    return code == Success ? RunCommand(context) : code;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylockctl: " << failure.what() << "; see --help\n";
    return UsageError;
  }
}
