// Commands that show and edit the lists.

#include "tools/bramleylockctl/ListVerbs.h"

#include "bramleylock/Support/Files.h"
#include "tools/bramleylockctl/Edits.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

auto ShowLists(const Session& aSession) -> int
{
  json answer;
  if (!ReadLists(aSession, answer)) {
    return PrintError(answer);
  }
  std::cout << (aSession.json ? answer.dump() : answer.dump(2)) << "\n";
  return Success;
}

/// Reads the lists in force and those in the file given to the command.
static auto ReadBoth(const Session& aSession, json& aCurrent, json& aWanted)
  -> int
{
  const auto document = ReadFile(aSession.words[2]);
  if (!document) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.words[2]);
    return Usage;
  }
  aWanted = json::parse(*document, nullptr, false);
  if (!aWanted.is_object()) {
    fmt::print(stderr, "bramleylockctl: {} is not a JSON object\n",
               aSession.words[2]);
    return Usage;
  }
  if (!ReadLists(aSession, aCurrent)) {
    // There are no lists to read before the first edit.
    aCurrent = { { "lists", json::object() } };
  }
  return Success;
}

/// With --base, changes that other edits made since that file was saved are
/// kept.
auto ApplyFile(const Session& aSession) -> int
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
  const auto text = ReadFile(aSession.baseFile);
  const auto base = json::parse(text.value_or(std::string()), nullptr, false);
  if (!base.is_object()) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aSession.baseFile);
    return Usage;
  }
  // 'lists show' wraps the lists in an object with their revision.
  return Submit(aSession, base.value("lists", base), wanted);
}

auto DiffFile(const Session& aSession) -> int
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

auto SetField(const Session& aSession) -> int
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

auto RemoveEntry(const Session& aSession) -> int
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

auto ShowHistory(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/lists/history");
}

} // namespace bramleylock::ctl
