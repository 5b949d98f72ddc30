// bramleylockctl: shows and edits the two lists, and shows balancers.

#include "tools/bramleylockctl/BalancerVerbs.h"
#include "tools/bramleylockctl/ListVerbs.h"

#include "bramleylock/Kernel/Settings.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <iostream>

using namespace bramleylock;
using namespace bramleylock::ctl;

namespace {

struct Verb
{
  const char* name;
  std::size_t words;
  int (*run)(const Session&);
  const char* usage;
};

} // namespace

static const std::array<Verb, 13> kVerbs{ {
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

static constexpr const char* kHelpTail = R"(
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

static auto RunVerb(Session& aSession) -> int
{
  for (const auto& verb : kVerbs) {
    std::string name = aSession.words.empty() ? "" : aSession.words[0];
    if (std::string(verb.name).find(' ') != std::string::npos &&
        aSession.words.size() > 1) {
      name += " " + aSession.words[1];
    }
    if (name != verb.name) {
      continue;
    }
    if (aSession.words.size() != verb.words) {
      fmt::print(stderr, "usage: bramleylockctl [OPTIONS] {}\n", verb.usage);
      return Usage;
    }
    return verb.run(aSession);
  }
  fmt::print(stderr, "bramleylockctl: unknown command; available commands:\n");
  for (const auto& verb : kVerbs) {
    fmt::print(stderr, "  {}\n", verb.usage);
  }
  return Usage;
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

static auto AllLoopback(const std::vector<std::string>& aServers) -> bool
{
  return std::all_of(
    aServers.begin(), aServers.end(), [](const std::string& aServer) {
      std::error_code error;
      return ParseTcpEndpoint(aServer, error).address().is_loopback();
    });
}

/// Sets up TLS. Without --ca, servers other than loopback require --plain-http,
/// because the token is then sent unencrypted.
static auto ReadTls(const cxxopts::ParseResult& aParsed, Session& aSession)
  -> int
{
  const auto file = aParsed["ca"].as<std::string>();
  if (file.empty()) {
    if (aParsed.count("plain-http") != 0 || AllLoopback(aSession.servers)) {
      return Success;
    }
    std::cerr << "bramleylockctl: a --server is not on loopback: give --ca "
                 "FILE, or --plain-http to send the token in the clear\n";
    return Usage;
  }
  std::error_code error;
  aSession.tls = http::MakeClientTls(file, error);
  if (error) {
    std::cerr << "bramleylockctl: --ca " << file
              << ": expected certificates in PEM: " << error.message() << "\n";
    return Usage;
  }
  return Success;
}

/// Reads the command line and the token file. Returns the exit code of the
/// program when it is not Success.
static auto ReadSession(const cxxopts::ParseResult& aParsed, Session& aSession)
  -> int
{
  if (aParsed.count("words") != 0) {
    aSession.words = aParsed["words"].as<std::vector<std::string>>();
  }
  aSession.json = aParsed.count("json") != 0;
  aSession.dryRun = aParsed.count("dry-run") != 0;
  aSession.baseFile = aParsed["base"].as<std::string>();
  aSession.waitMs = aParsed["wait-ms"].as<int>();
  const bool local =
    !aSession.words.empty() && aSession.words[0] == "credential";
  if (local) {
    return Success;
  }
  if (aParsed.count("server") == 0) {
    std::cerr << "bramleylockctl: --server is required; see --help\n";
    return Usage;
  }
  aSession.servers = aParsed["server"].as<std::vector<std::string>>();
  const auto tokenFile = aParsed["token-file"].as<std::string>();
  if (tokenFile.empty()) {
    // The metrics address of the forwarding path needs no token.
    return ReadTls(aParsed, aSession);
  }
  std::error_code error;
  aSession.token = kernel::ReadSecretFile(tokenFile, error);
  if (error) {
    std::cerr << "bramleylockctl: --token-file cannot be read\n";
    return Usage;
  }
  return ReadTls(aParsed, aSession);
}

auto main(int argc, char** argv) -> int
{
  auto options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelpTail;
      return Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bramleylockctl " BRAMLEYLOCK_VERSION "\n";
      return Success;
    }
    if (sodium_init() < 0) {
      return Failed;
    }
    Session session;
    const auto code = ReadSession(parsed, session);
    return code == Success ? RunVerb(session) : code;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylockctl: " << failure.what() << "; see --help\n";
    return Usage;
  }
}
