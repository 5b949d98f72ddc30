// Formats the lists as JSON.

#include "bramleylock/Lists/ListDocument.h"

#include <nlohmann/json.hpp>

namespace bramleylock::lists {

using nlohmann::json;

static auto FormatPlan(const Plan& aPlan) -> json
{
  json entry{ { "secret_hash", aPlan.secretHash }, { "weight", aPlan.weight } };
  if (aPlan.ratePerSecond > 0) {
    entry["rate_per_second"] = aPlan.ratePerSecond;
  }
  if (aPlan.concurrency > 0) {
    entry["concurrency"] = aPlan.concurrency;
  }
  if (!aPlan.failureDomains.empty()) {
    entry["failure_domains"] = aPlan.failureDomains;
  }
  return entry;
}

static auto FormatService(const Service& aService) -> json
{
  json works = json::object();
  for (const auto& [name, work] : aService.works) {
    works[name] = { { "urgency", NameOf(kUrgencyNames, work.urgency) },
                    { "size", NameOf(kSizeClassNames, work.size) },
                    { "execution", NameOf(kExecutionNames, work.execution) },
                    { "deadline_ms", work.deadlineMs } };
  }
  return { { "plans", aService.plans },
           { "slots", aService.slots },
           { "connections", aService.connections },
           { "works", works } };
}

static auto FormatEdits(const PlanLists& aLists) -> json
{
  json edits = json::array();
  for (const auto& edit : aLists.edits) {
    edits.push_back({ { "id", edit.id },
                      { "revision", edit.revision },
                      { "accepted_at_ms", edit.acceptedAtMs },
                      { "entries", edit.entries } });
  }
  return edits;
}

static auto FormatMember(const std::string& aName, const json& aValue)
  -> std::string
{
  return json(aName).dump() + ':' + aValue.dump();
}

auto FormatEntry(const PlanLists& aLists, const std::string& aPath)
  -> std::string
{
  const auto plan = aLists.plans.find(EntryName(aPath, kPlanPrefix));
  if (plan != aLists.plans.end()) {
    return FormatPlan(plan->second).dump();
  }
  const auto service = aLists.services.find(EntryName(aPath, kServicePrefix));
  return service == aLists.services.end()
           ? "null"
           : FormatService(service->second).dump();
}

auto FormatLists(const PlanLists& aLists) -> std::string
{
  return ListDocument(aLists).Text(aLists);
}

ListDocument::ListDocument(const PlanLists& aLists)
{
  Update(aLists, EntryPaths(aLists));
  for (const auto& [path, stamp] : aLists.stamps) {
    if (!m_stamps.contains(path)) {
      Update(aLists, { path });
    }
  }
}

auto ListDocument::Update(const PlanLists& aLists,
                          const std::vector<std::string>& aPaths) -> void
{
  for (const auto& path : aPaths) {
    const auto planName = EntryName(path, kPlanPrefix);
    const auto serviceName = EntryName(path, kServicePrefix);
    m_plans.erase(planName);
    m_services.erase(serviceName);
    m_stamps.erase(path);
    const auto plan = aLists.plans.find(planName);
    if (plan != aLists.plans.end()) {
      m_plans[planName] = FormatMember(planName, FormatPlan(plan->second));
    }
    const auto service = aLists.services.find(serviceName);
    if (service != aLists.services.end()) {
      m_services[serviceName] =
        FormatMember(serviceName, FormatService(service->second));
    }
    const auto stamp = aLists.stamps.find(path);
    if (stamp != aLists.stamps.end()) {
      m_stamps[path] =
        FormatMember(path, { { "revision", stamp->second.revision },
                             { "edit", stamp->second.edit } });
    }
  }
}

auto ListDocument::AppendObject(const Members& aMembers, std::string& aText)
  -> void
{
  aText += '{';
  bool first = true;
  for (const auto& [name, member] : aMembers) {
    if (!first) {
      aText += ',';
    }
    first = false;
    aText += member;
  }
  aText += '}';
}

auto ListDocument::Text(const PlanLists& aLists) const -> std::string
{
  // Members are sorted by name here and in all nested objects, so that equal
  // lists give equal documents.
  std::string text = "{\"edits\":" + FormatEdits(aLists).dump();
  if (aLists.forgottenRevision > 0) {
    text +=
      ",\"forgotten_revision\":" + std::to_string(aLists.forgottenRevision);
  }
  text += ",\"plans\":";
  AppendObject(m_plans, text);
  if (aLists.revision > 0) {
    text += ",\"revision\":" + std::to_string(aLists.revision);
  }
  text += ",\"services\":";
  AppendObject(m_services, text);
  text += ",\"stamps\":";
  AppendObject(m_stamps, text);
  text += '}';
  return text;
}

} // namespace bramleylock::lists
