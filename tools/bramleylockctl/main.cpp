// bramleylockctl: shows and edits the two lists, and shows balancers.

#include "bramleylock/Http/SyncFetch.h"
#include "bramleylock/Kernel/Settings.h"
#include "bramleylock/Support/Random.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace bramleylock;
using nlohmann::json;

namespace {

enum ExitCode
{
  Success = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  NotEverywhere = 4
};

struct Session
{
  std::vector<std::string> servers;
  std::string token;
  bool json = false;
  int waitMs = 0;
  std::vector<std::string> words;
};

struct Verb
{
  const char* name;
  std::size_t words;
  int (*run)(const Session&);
  const char* usage;
};

} // namespace

static constexpr Milliseconds kCallTimeout{ 5000 };
static constexpr Milliseconds kPollEvery{ 50 };

static auto Call(const Session& aSession, const std::string& aServer,
                 const std::string& aMethod, const std::string& aTarget,
                 const std::string& aBody, json& aAnswer) -> unsigned
{
  http::Request request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers["Authorization"] = "Bearer " + aSession.token;
  std::error_code error;
  const auto reply =
    http::SyncFetch(aServer, std::move(request), kCallTimeout, error);
  if (error) {
    aAnswer = { { "error", error.message() }, { "detail", aServer } };
    return 0;
  }
  aAnswer = json::parse(reply.body, nullptr, false);
  if (aAnswer.is_discarded()) {
    aAnswer = reply.body;
  }
  return reply.status;
}

static auto PrintError(const json& aAnswer) -> int
{
  fmt::print(stderr, "bramleylockctl: {}: {}\n",
             aAnswer.value("error", "failed"), aAnswer.value("detail", ""));
  return Failed;
}

/// Reads the lists from the first server that answers.
static auto ReadLists(const Session& aSession, json& aAnswer) -> bool
{
  for (const auto& server : aSession.servers) {
    if (Call(aSession, server, "GET", "/lists", "", aAnswer) == 200) {
      return true;
    }
  }
  return false;
}

static auto ShowLists(const Session& aSession) -> int
{
  json answer;
  if (!ReadLists(aSession, answer)) {
    return PrintError(answer);
  }
  std::cout << (aSession.json ? answer.dump() : answer.dump(2)) << "\n";
  return Success;
}

static auto RevisionAt(const Session& aSession, const std::string& aServer)
  -> std::uint64_t
{
  json answer;
  if (Call(aSession, aServer, "GET", "/status", "", answer) != 200) {
    return 0;
  }
  return answer.value("lists_revision", std::uint64_t{ 0 });
}

/// Waits until every server has aRevision and reports who has not.
static auto WaitInForce(const Session& aSession, std::uint64_t aRevision) -> int
{
  const auto started = Clock::now();
  const auto limit = started + Milliseconds(aSession.waitMs);
  std::vector<std::string> missing;
  do {
    missing.clear();
    for (const auto& server : aSession.servers) {
      if (RevisionAt(aSession, server) < aRevision) {
        missing.push_back(server);
      }
    }
    if (missing.empty()) {
      break;
    }
    std::this_thread::sleep_for(kPollEvery);
  } while (Clock::now() < limit);
  const auto waited =
    std::chrono::duration<double, std::milli>(Clock::now() - started).count();
  const json report{ { "revision", aRevision },
                     { "in_force", aSession.servers.size() - missing.size() },
                     { "not_yet", missing },
                     { "waited_ms", waited } };
  if (aSession.json) {
    std::cout << report.dump() << "\n";
  } else {
    fmt::print("revision={} in_force={} not_yet={} waited_ms={:.0f}\n",
               aRevision, aSession.servers.size() - missing.size(),
               missing.empty() ? "none"
                               : fmt::format("{}", fmt::join(missing, ",")),
               waited);
  }
  return missing.empty() ? Success : NotEverywhere;
}

static auto Submit(const Session& aSession, std::uint64_t aExpected,
                   const std::string& aDocument) -> int
{
  json answer;
  const auto status =
    Call(aSession, aSession.servers.front(), "PUT",
         "/lists?expected=" + std::to_string(aExpected), aDocument, answer);
  if (status != 200) {
    PrintError(answer);
    return status == 409 ? Conflict : Failed;
  }
  return WaitInForce(aSession, answer.value("revision", std::uint64_t{ 0 }));
}

static auto ReadFile(const std::string& aFile, std::string& aText) -> bool
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  aText = text.str();
  return static_cast<bool>(file);
}

static auto ApplyFile(const Session& aSession) -> int
{
  std::string document;
  if (!ReadFile(aSession.words[2], document)) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.words[2]);
    return Usage;
  }
  json current;
  const auto expected = ReadLists(aSession, current)
                          ? current.value("revision", std::uint64_t{ 0 })
                          : 0;
  return Submit(aSession, expected, document);
}

static auto DiffFile(const Session& aSession) -> int
{
  std::string document;
  json current;
  if (!ReadFile(aSession.words[2], document)) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.words[2]);
    return Usage;
  }
  if (!ReadLists(aSession, current)) {
    return PrintError(current);
  }
  auto wanted = json::parse(document, nullptr, false);
  if (wanted.is_discarded()) {
    fmt::print(stderr, "bramleylockctl: {} is not valid JSON\n",
               aSession.words[2]);
    return Usage;
  }
  wanted.erase("edits");
  current["lists"].erase("edits");
  std::cout << json::diff(current["lists"], wanted).dump(2) << "\n";
  return Success;
}

/// Sets one field: lists set plans/clubes/weight 2
static auto SetField(const Session& aSession) -> int
{
  json current;
  if (!ReadLists(aSession, current)) {
    return PrintError(current);
  }
  auto value = json::parse(aSession.words[3], nullptr, false);
  if (value.is_discarded()) {
    value = aSession.words[3];
  }
  try {
    current["lists"][json::json_pointer("/" + aSession.words[2])] = value;
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aSession.words[2],
               failure.what());
    return Usage;
  }
  return Submit(aSession, current.value("revision", std::uint64_t{ 0 }),
                current["lists"].dump());
}

static auto RemoveEntry(const Session& aSession) -> int
{
  json current;
  if (!ReadLists(aSession, current)) {
    return PrintError(current);
  }
  try {
    const json patch = json::array(
      { { { "op", "remove" }, { "path", "/" + aSession.words[2] } } });
    current["lists"] = current["lists"].patch(patch);
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aSession.words[2],
               failure.what());
    return Usage;
  }
  return Submit(aSession, current.value("revision", std::uint64_t{ 0 }),
                current["lists"].dump());
}

/// Prints what every server answers on one path.
static auto PrintEach(const Session& aSession, const char* aMethod,
                      const char* aPath) -> int
{
  int code = Success;
  for (const auto& server : aSession.servers) {
    json answer;
    const auto status = Call(aSession, server, aMethod, aPath, "", answer);
    if (status < 200 || status >= 300) {
      code = Failed;
    }
    if (aSession.json) {
      std::cout << json{ { "server", server }, { "answer", answer } }.dump()
                << "\n";
    } else {
      std::cout << server << " " << answer.dump(2) << "\n";
    }
  }
  return code;
}

static auto ShowStatus(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/status");
}

static auto ShowTargets(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/targets");
}

static auto ShowCounters(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/counters");
}

static auto StartDrain(const Session& aSession) -> int
{
  return PrintEach(aSession, "POST", "/drain");
}

static auto RotateKeys(const Session& aSession) -> int
{
  json answer;
  const auto status = Call(aSession, aSession.servers.front(), "POST",
                           "/keys/rotate", "", answer);
  if (status != 202) {
    const auto result = PrintError(answer);
    return status == 409 ? Conflict : result;
  }
  std::cout << answer.dump() << "\n";
  return Success;
}

static auto NewCredential(const Session& aSession) -> int
{
  const auto secret = SecretIdentifier();
  fmt::print("credential={}.{}\nsecret_hash={}\n", aSession.words[1], secret,
             HashHex(secret));
  return Success;
}

static const std::array<Verb, 11> kVerbs{ {
  { "lists show", 2, ShowLists, "lists show" },
  { "lists apply", 3, ApplyFile, "lists apply FILE" },
  { "lists diff", 3, DiffFile, "lists diff FILE" },
  { "lists set", 4, SetField, "lists set PATH VALUE" },
  { "lists remove", 3, RemoveEntry, "lists remove PATH" },
  { "status", 1, ShowStatus, "status" },
  { "targets", 1, ShowTargets, "targets" },
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

With several --server, edits go through the first, and the command waits until
the edit is in force on all of them. 'credential' needs no server.
Exit codes: 0 done, 1 failed, 2 wrong command line, 3 the lists changed
meanwhile, 4 accepted but not yet in force everywhere.
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
  fmt::print(stderr, "bramleylockctl: no such command; there are:\n");
  for (const auto& verb : kVerbs) {
    fmt::print(stderr, "  {}\n", verb.usage);
  }
  return Usage;
}

auto main(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylockctl",
                           "Shows and edits the lists, and shows balancers.");
  options.add_options()("server", "ip:port of an administration API",
                        cxxopts::value<std::vector<std::string>>())(
    "token-file", "file with the bearer token",
    cxxopts::value<std::string>()->default_value(""))(
    "wait-ms", "how long to wait until an edit is in force",
    cxxopts::value<int>()->default_value("4000"))("json", "print JSON")(
    "version", "print the version")("help", "print this help")(
    "words", "command", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  options.positional_help("COMMAND ...");
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
    Session session;
    if (parsed.count("words") != 0) {
      session.words = parsed["words"].as<std::vector<std::string>>();
    }
    session.json = parsed.count("json") != 0;
    session.waitMs = parsed["wait-ms"].as<int>();
    const bool local =
      !session.words.empty() && session.words[0] == "credential";
    if (sodium_init() < 0) {
      return Failed;
    }
    if (!local) {
      std::error_code error;
      if (parsed.count("server") == 0) {
        std::cerr << "bramleylockctl: --server is required; see --help\n";
        return Usage;
      }
      session.servers = parsed["server"].as<std::vector<std::string>>();
      session.token =
        kernel::ReadSecretFile(parsed["token-file"].as<std::string>(), error);
      if (error) {
        std::cerr << "bramleylockctl: --token-file cannot be read\n";
        return Usage;
      }
    }
    return RunVerb(session);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylockctl: " << failure.what() << "; see --help\n";
    return Usage;
  }
}
