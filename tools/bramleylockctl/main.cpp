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
  bool dryRun = false;
  int waitMs = 0;
  std::string baseFile;
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

/// Longer than a balancer tries an edit at a slow store.
static constexpr Milliseconds kCallTimeout{ 15000 };
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

static auto InForceAt(const Session& aSession, const std::string& aServer,
                      const std::string& aEdit) -> bool
{
  json answer;
  return Call(aSession, aServer, "GET", "/lists/edit?id=" + aEdit, "",
              answer) == 200 &&
         answer.value("in_force", false);
}

/// Waits until aEdit is in force on every server and reports where it is not.
static auto WaitInForce(const Session& aSession, const std::string& aEdit,
                        std::uint64_t aRevision) -> int
{
  const auto started = Clock::now();
  const auto limit = started + Milliseconds(aSession.waitMs);
  auto missing = aSession.servers;
  for (;;) {
    std::erase_if(missing, [&](const std::string& aServer) {
      return InForceAt(aSession, aServer, aEdit);
    });
    if (missing.empty() || Clock::now() >= limit) {
      break;
    }
    std::this_thread::sleep_for(kPollEvery);
  }
  const auto waited =
    std::chrono::duration<double, std::milli>(Clock::now() - started).count();
  const auto inForce = aSession.servers.size() - missing.size();
  if (aSession.json) {
    std::cout << json{
      { "edit", aEdit },
      { "revision", aRevision },
      { "in_force", inForce },
      { "not_yet", missing },
      { "waited_ms", waited }
    }.dump() << "\n";
  } else {
    fmt::print("revision={} edit={} in_force={} not_yet={} waited_ms={:.0f}\n",
               aRevision, aEdit, inForce,
               missing.empty() ? "none"
                               : fmt::format("{}", fmt::join(missing, ",")),
               waited);
  }
  return missing.empty() ? Success : NotEverywhere;
}

/// Entries by path, such as "plans/clubs".
static auto EntriesOf(const json& aLists) -> std::map<std::string, json>
{
  std::map<std::string, json> entries;
  for (const auto* list : { "plans", "services" }) {
    const auto rows = aLists.value(list, json::object());
    for (const auto& [name, entry] : rows.items()) {
      entries[fmt::format("{}/{}", list, name)] = entry;
    }
  }
  return entries;
}

/// The changes that lead from aBase to aWanted, as the API takes them.
static auto ChangesBetween(const json& aBase, const json& aWanted) -> json
{
  const auto base = EntriesOf(aBase);
  auto all = EntriesOf(aWanted);
  all.insert(base.begin(), base.end());
  const auto wanted = EntriesOf(aWanted);
  json changes = json::array();
  for (const auto& [path, any] : all) {
    const auto before = base.find(path);
    const auto after = wanted.find(path);
    const auto from = before == base.end() ? json() : before->second;
    const auto to = after == wanted.end() ? json() : after->second;
    if (from != to) {
      changes.push_back(
        { { "path", path }, { "base", from }, { "wanted", to } });
    }
  }
  return changes;
}

static auto PrintConflicts(const json& aAnswer) -> void
{
  for (const auto& row : aAnswer.value("conflicts", json::array())) {
    fmt::print(stderr,
               "{}: changed by edit {}\n  read:   {}\n  wanted: {}\n"
               "  now:    {}\n",
               row.value("path", ""), row.value("other_edit", ""),
               row["base"].dump(), row["wanted"].dump(), row["current"].dump());
  }
}

/// Sends aBody to the servers in turn until one says what became of the edit.
/// Each try carries the same edit id, so that it is written at most once.
static auto SendEdit(const Session& aSession, const std::string& aTarget,
                     const json& aBody, json& aAnswer) -> unsigned
{
  unsigned status = 0;
  for (std::size_t i = 0; i < aSession.servers.size() + 1; ++i) {
    const auto& server = aSession.servers[i % aSession.servers.size()];
    status = Call(aSession, server, "PATCH", aTarget, aBody.dump(), aAnswer);
    const bool undecided = status == 0 || status >= 500;
    if (!undecided) {
      break;
    }
  }
  return status;
}

static auto Submit(const Session& aSession, const json& aBase,
                   const json& aWanted) -> int
{
  const auto edit = SecretIdentifier();
  const json body{ { "edit", edit },
                   { "changes", ChangesBetween(aBase, aWanted) } };
  json answer;
  const auto status = SendEdit(
    aSession, aSession.dryRun ? "/lists?dry_run=1" : "/lists", body, answer);
  if (status != 200) {
    PrintError(answer);
    PrintConflicts(answer);
    return status == 409 ? Conflict : Failed;
  }
  const auto outcome = answer.value("status", "");
  if (outcome != "accepted") {
    std::cout << (aSession.json ? answer.dump() : answer.dump(2)) << "\n";
    return Success;
  }
  return WaitInForce(aSession, edit,
                     answer.value("revision", std::uint64_t{ 0 }));
}

static auto ReadFile(const std::string& aFile, std::string& aText) -> bool
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  aText = text.str();
  return static_cast<bool>(file);
}

/// Reads the lists in force and those in the file that the command names.
static auto ReadBoth(const Session& aSession, json& aCurrent, json& aWanted)
  -> int
{
  std::string document;
  if (!ReadFile(aSession.words[2], document)) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.words[2]);
    return Usage;
  }
  aWanted = json::parse(document, nullptr, false);
  if (!aWanted.is_object()) {
    fmt::print(stderr, "bramleylockctl: {} is not a JSON object\n",
               aSession.words[2]);
    return Usage;
  }
  if (!ReadLists(aSession, aCurrent)) {
    // Before the first edit there are no lists to read.
    aCurrent = { { "lists", json::object() } };
  }
  return Success;
}

/// With --base, changes that others made after that file was read are kept.
static auto ApplyFile(const Session& aSession) -> int
{
  json current;
  json wanted;
  const auto code = ReadBoth(aSession, current, wanted);
  if (code != Success) {
    return code;
  }
  if (aSession.baseFile.empty()) {
    return Submit(aSession, current["lists"], wanted);
  }
  std::string text;
  const bool read = ReadFile(aSession.baseFile, text);
  const auto base = json::parse(text, nullptr, false);
  if (!read || !base.is_object()) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.baseFile);
    return Usage;
  }
  // 'lists show' prints the lists with their revision around them.
  return Submit(aSession, base.value("lists", base), wanted);
}

static auto DiffFile(const Session& aSession) -> int
{
  json current;
  json wanted;
  const auto code = ReadBoth(aSession, current, wanted);
  if (code != Success) {
    return code;
  }
  std::cout << ChangesBetween(current["lists"], wanted).dump(2) << "\n";
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
  auto wanted = current["lists"];
  try {
    wanted[json::json_pointer("/" + aSession.words[2])] = value;
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aSession.words[2],
               failure.what());
    return Usage;
  }
  return Submit(aSession, current["lists"], wanted);
}

static auto RemoveEntry(const Session& aSession) -> int
{
  json current;
  if (!ReadLists(aSession, current)) {
    return PrintError(current);
  }
  auto wanted = current["lists"];
  try {
    const json patch = json::array(
      { { { "op", "remove" }, { "path", "/" + aSession.words[2] } } });
    wanted = wanted.patch(patch);
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aSession.words[2],
               failure.what());
    return Usage;
  }
  return Submit(aSession, current["lists"], wanted);
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

static auto ShowHistory(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/lists/history");
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

static const std::array<Verb, 12> kVerbs{ {
  { "lists show", 2, ShowLists, "lists show" },
  { "lists apply", 3, ApplyFile, "lists apply FILE" },
  { "lists diff", 3, DiffFile, "lists diff FILE" },
  { "lists set", 4, SetField, "lists set PATH VALUE" },
  { "lists remove", 3, RemoveEntry, "lists remove PATH" },
  { "lists history", 2, ShowHistory, "lists history" },
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

With several --server, edits go through the first that answers, and the command
waits until the edit is in force on all of them. An edit whose answer was lost is
repeated with the same id, which writes it at most once. 'credential' needs no server.
Exit codes: 0 done, 1 failed, 2 wrong command line, 3 the same entries
changed meanwhile, 4 accepted but not yet in force everywhere.
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
    cxxopts::value<int>()->default_value("4000"))(
    "base", "lists that the file of 'lists apply' was made from",
    cxxopts::value<std::string>()->default_value(""))(
    "dry-run", "show what an edit would change, and write nothing")(
    "json", "print JSON")("version", "print the version")(
    "help", "print this help")("words", "command",
                               cxxopts::value<std::vector<std::string>>());
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
    session.dryRun = parsed.count("dry-run") != 0;
    session.baseFile = parsed["base"].as<std::string>();
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
