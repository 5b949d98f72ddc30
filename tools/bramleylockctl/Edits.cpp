// Submits edits at most once and waits until they are in force on all servers.

#include "tools/bramleylockctl/Edits.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <iostream>
#include <thread>

namespace bramleylock::ctl {

using nlohmann::json;

static constexpr Milliseconds kPollInterval{ 50 };

/// A server that does not answer within this time counts as not having the edit
/// in force.
static constexpr Milliseconds kPollTimeout{ 500 };

static auto IsInForceAt(const CommandContext& aContext,
                        const std::string& aServer, const std::string& aEdit)
  -> bool
{
  json answer;
  return CallServer(aContext, aServer, "GET", "/lists/edit?id=" + aEdit, "",
                    answer, kPollTimeout) == 200 &&
         answer.value("in_force", false);
}

static auto WaitInForce(const CommandContext& aContext,
                        const std::string& aEdit, std::uint64_t aRevision)
  -> int
{
  const auto started = Clock::now();
  const auto limit = started + Milliseconds(aContext.waitMs);
  auto pending = aContext.servers;
  for (;;) {
    std::erase_if(pending, [&](const std::string& aServer) {
      return IsInForceAt(aContext, aServer, aEdit);
    });
    if (pending.empty() || Clock::now() >= limit) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  const auto waited =
    std::chrono::duration<double, std::milli>(Clock::now() - started).count();
  const auto inForce = aContext.servers.size() - pending.size();
  if (aContext.json) {
    std::cout << json{
      { "edit", aEdit },
      { "revision", aRevision },
      { "in_force", inForce },
      { "not_yet", pending },
      { "waited_ms", waited }
    }.dump() << "\n";
  } else {
    fmt::print("revision={} edit={} in_force={} not_yet={} waited_ms={:.0f}\n",
               aRevision, aEdit, inForce,
               pending.empty() ? "none"
                               : fmt::format("{}", fmt::join(pending, ",")),
               waited);
  }
  return pending.empty() ? Success : NotInForceEverywhere;
}

/// Returns the entries of the lists by path, such as "plans/clubs".
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

auto ChangesBetween(const json& aBase, const json& aWanted) -> json
{
  const auto base = EntriesOf(aBase);
  auto allEntries = EntriesOf(aWanted);
  allEntries.insert(base.begin(), base.end());
  const auto wanted = EntriesOf(aWanted);
  json changes = json::array();
  for (const auto& [path, unused] : allEntries) {
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

/// Sends aBody to the servers in turn until one reports the outcome of the
/// edit. All attempts carry the same edit id, so that it is written at most
/// once.
static auto SendEdit(const CommandContext& aContext, const std::string& aTarget,
                     const json& aBody, json& aAnswer) -> unsigned
{
  unsigned status = 0;
  for (std::size_t i = 0; i < aContext.servers.size() + 1; ++i) {
    const auto& server = aContext.servers[i % aContext.servers.size()];
    status =
      CallServer(aContext, server, "PATCH", aTarget, aBody.dump(), aAnswer);
    const bool undecided = status == 0 || status >= 500;
    if (!undecided) {
      break;
    }
  }
  return status;
}

auto SubmitChanges(const CommandContext& aContext, const json& aBase,
                   const json& aWanted) -> int
{
  const auto edit = SecureRandomIdentifier();
  const json body{ { "edit", edit },
                   { "changes", ChangesBetween(aBase, aWanted) } };
  json answer;
  const auto status = SendEdit(
    aContext, aContext.dryRun ? "/lists?dry_run=1" : "/lists", body, answer);
  if (status != 200) {
    PrintError(answer);
    PrintConflicts(answer);
    return status == 409 ? Conflict : Failure;
  }
  const auto outcome = answer.value("status", "");
  if (outcome != "accepted") {
    std::cout << (aContext.json ? answer.dump() : answer.dump(2)) << "\n";
    return Success;
  }
  return WaitInForce(aContext, edit,
                     answer.value("revision", std::uint64_t{ 0 }));
}

} // namespace bramleylock::ctl
