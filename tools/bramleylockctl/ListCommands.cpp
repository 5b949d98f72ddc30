// Commands that show and edit the lists.

#include "tools/bramleylockctl/ListCommands.h"

#include "bramleylock/Support/Files.h"
#include "tools/bramleylockctl/Edits.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

auto ShowLists(const CommandContext& aContext) -> int
{
  json answer;
  if (!ReadLists(aContext, answer)) {
    return PrintError(answer);
  }
  std::cout << (aContext.json ? answer.dump() : answer.dump(2)) << "\n";
  return Success;
}

/// Reads the lists in force and those in the file given to the command.
static auto ReadCurrentAndWanted(const CommandContext& aContext, json& aCurrent,
                                 json& aWanted) -> int
{
  const auto document = ReadFile(aContext.arguments[2]);
  if (!document) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n",
               aContext.arguments[2]);
    return UsageError;
  }
  aWanted = json::parse(*document, nullptr, false);
  if (!aWanted.is_object()) {
    fmt::print(stderr, "bramleylockctl: {} is not a JSON object\n",
               aContext.arguments[2]);
    return UsageError;
  }
  if (!ReadLists(aContext, aCurrent)) {
    // There are no lists to read before the first edit.
    aCurrent = { { "lists", json::object() } };
  }
  return Success;
}

/// With --base, changes that other edits made since that file was saved are
/// kept.
auto ApplyFile(const CommandContext& aContext) -> int
{
  json current;
  json wanted;
  const auto code = ReadCurrentAndWanted(aContext, current, wanted);
  if (code != Success) {
    return code;
  }
  if (aContext.baseFile.empty()) {
    return SubmitChanges(aContext, current["lists"], wanted);
  }
  const auto text = ReadFile(aContext.baseFile);
  const auto base = json::parse(text.value_or(std::string()), nullptr, false);
  if (!base.is_object()) {
    fmt::print(stderr, "bramleylockctl: cannot read {}\n", aContext.baseFile);
    return UsageError;
  }
  // 'lists show' wraps the lists in an object with their revision.
  return SubmitChanges(aContext, base.value("lists", base), wanted);
}

auto DiffFile(const CommandContext& aContext) -> int
{
  json current;
  json wanted;
  const auto code = ReadCurrentAndWanted(aContext, current, wanted);
  if (code != Success) {
    return code;
  }
  std::cout << ChangesBetween(current["lists"], wanted).dump(2) << "\n";
  return Success;
}

auto SetField(const CommandContext& aContext) -> int
{
  json current;
  if (!ReadLists(aContext, current)) {
    return PrintError(current);
  }
  auto value = json::parse(aContext.arguments[3], nullptr, false);
  if (value.is_discarded()) {
    value = aContext.arguments[3];
  }
  auto wanted = current["lists"];
  try {
    wanted[json::json_pointer("/" + aContext.arguments[2])] = value;
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aContext.arguments[2],
               failure.what());
    return UsageError;
  }
  return SubmitChanges(aContext, current["lists"], wanted);
}

auto RemoveEntry(const CommandContext& aContext) -> int
{
  json current;
  if (!ReadLists(aContext, current)) {
    return PrintError(current);
  }
  auto wanted = current["lists"];
  try {
    const json patch = json::array(
      { { { "op", "remove" }, { "path", "/" + aContext.arguments[2] } } });
    wanted = wanted.patch(patch);
  } catch (const json::exception& failure) {
    fmt::print(stderr, "bramleylockctl: {}: {}\n", aContext.arguments[2],
               failure.what());
    return UsageError;
  }
  return SubmitChanges(aContext, current["lists"], wanted);
}

auto ShowHistory(const CommandContext& aContext) -> int
{
  return PrintFromEachServer(aContext, "GET", "/lists/history");
}

} // namespace bramleylock::ctl
