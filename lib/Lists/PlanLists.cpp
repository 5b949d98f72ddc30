// The JSON form of the lists, and its validation.

#include "bramleylock/Lists/PlanLists.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleylock::lists {

using nlohmann::json;

static constexpr std::size_t kNameBytes = 64;
static constexpr std::size_t kSecretHashDigits = 64;
static constexpr double kWeightLimit = 1000;
static constexpr double kRateLimit = 1e6;
static constexpr std::uint32_t kCountLimit = 1000000;
static constexpr std::uint32_t kDeadlineLimitMs = 3600000;

namespace {

/// Thrown inside this file only, to leave nested readers at the first fault.
struct Fault
{
  ListsError error;
  std::string detail;
};

/// Reads the fields of one entry and refuses those it does not know.
class EntryReader
{
public:
  EntryReader(const json& aEntry, std::string aPath)
    : m_entry(aEntry)
    , m_path(std::move(aPath))
  {
    if (!m_entry.is_object()) {
      throw Fault{ ListsError::Field, m_path + ": expected an object" };
    }
  }

  template<typename Number>
  auto ReadNumber(const char* aKey, Number aDefault, Number aLowest,
                  Number aHighest) -> Number
  {
    const auto* value = Take(aKey);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || value->get<double>() < double(aLowest) ||
        value->get<double>() > double(aHighest)) {
      Fail(aKey, fmt::format("found {}, allowed {} to {}", value->dump(),
                             aLowest, aHighest));
    }
    return value->get<Number>();
  }

  auto ReadText(const char* aKey) -> std::string
  {
    const auto* value = Take(aKey);
    if (value == nullptr || !value->is_string()) {
      Fail(aKey, "expected a string");
    }
    return value->get<std::string>();
  }

  auto ReadTexts(const char* aKey) -> std::vector<std::string>
  {
    std::vector<std::string> texts;
    const auto* value = Take(aKey);
    if (value == nullptr) {
      return texts;
    }
    if (!value->is_array()) {
      Fail(aKey, "expected an array of strings");
    }
    for (const auto& item : *value) {
      if (!item.is_string()) {
        Fail(aKey, "expected an array of strings");
      }
      texts.push_back(item.get<std::string>());
    }
    return texts;
  }

  template<typename Enum, std::size_t Size>
  auto ReadName(const char* aKey, const std::array<NameRow<Enum>, Size>& aTable,
                Enum aDefault) -> Enum
  {
    const auto* value = Take(aKey);
    if (value == nullptr) {
      return aDefault;
    }
    const auto found = value->is_string()
                         ? ValueOf(aTable, value->get<std::string>())
                         : std::optional<Enum>{};
    if (!found) {
      std::string allowed;
      for (const auto& [entry, name] : aTable) {
        allowed += allowed.empty() ? "" : ", ";
        allowed += name;
      }
      Fail(aKey, fmt::format("found {}, allowed {}", value->dump(), allowed));
    }
    return *found;
  }

  /// The object under aKey; an empty one when it is missing.
  auto ReadObject(const char* aKey) -> json
  {
    const auto* value = Take(aKey);
    if (value == nullptr) {
      return json::object();
    }
    if (!value->is_object()) {
      Fail(aKey, "expected an object");
    }
    return *value;
  }

  /// Refuses fields that no reader has taken.
  auto Finish() -> void
  {
    for (const auto& [key, value] : m_entry.items()) {
      if (!m_known.contains(key)) {
        Fail(key.c_str(), "unknown field");
      }
    }
  }

private:
  auto Take(const char* aKey) -> const json*
  {
    m_known.emplace(aKey, true);
    const auto found = m_entry.find(aKey);
    return found == m_entry.end() ? nullptr : &*found;
  }

  [[noreturn]] auto Fail(const char* aKey, const std::string& aWhy) -> void
  {
    throw Fault{ ListsError::Field,
                 fmt::format("{}.{}: {}", m_path, aKey, aWhy) };
  }

  const json& m_entry;
  std::string m_path;
  std::map<std::string, bool> m_known;
};

} // namespace

static auto CheckName(const std::string& aPath, const std::string& aName)
  -> void
{
  const bool plain = std::all_of(aName.begin(), aName.end(), [](char aLetter) {
    return std::isalnum(static_cast<unsigned char>(aLetter)) != 0 ||
           aLetter == '-' || aLetter == '_';
  });
  if (aName.empty() || aName.size() > kNameBytes || !plain) {
    throw Fault{ ListsError::Field,
                 fmt::format("{}: name {} must be 1 to {} letters, digits, "
                             "hyphens or underscores",
                             aPath, json(aName).dump(), kNameBytes) };
  }
}

static auto ReadPlan(const std::string& aName, const json& aEntry) -> Plan
{
  EntryReader reader(aEntry, "plans." + aName);
  Plan plan;
  plan.secretHash = reader.ReadText("secret_hash");
  if (plan.secretHash.size() != kSecretHashDigits) {
    throw Fault{ ListsError::Field,
                 fmt::format("plans.{}.secret_hash: expected {} hexadecimal "
                             "digits",
                             aName, kSecretHashDigits) };
  }
  plan.weight = reader.ReadNumber("weight", 1.0, 0.001, kWeightLimit);
  plan.ratePerSecond =
    reader.ReadNumber("rate_per_second", 0.0, 0.0, kRateLimit);
  plan.concurrency =
    reader.ReadNumber<std::uint32_t>("concurrency", 0, 0, kCountLimit);
  plan.failureDomains = reader.ReadTexts("failure_domains");
  reader.Finish();
  return plan;
}

static auto ReadWork(const std::string& aPath, const json& aEntry) -> Work
{
  EntryReader reader(aEntry, aPath);
  Work work;
  work.urgency = reader.ReadName("urgency", kUrgencyNames, work.urgency);
  work.size = reader.ReadName("size", kSizeClassNames, work.size);
  work.execution =
    reader.ReadName("execution", kExecutionNames, work.execution);
  work.deadlineMs = reader.ReadNumber<std::uint32_t>(
    "deadline_ms", work.deadlineMs, 1, kDeadlineLimitMs);
  reader.Finish();
  return work;
}

static auto ReadService(const std::string& aName, const json& aEntry) -> Service
{
  const auto path = "services." + aName;
  EntryReader reader(aEntry, path);
  Service service;
  service.plans = reader.ReadTexts("plans");
  service.slots = reader.ReadNumber<std::uint32_t>("slots", 1, 1, kCountLimit);
  service.connections = reader.ReadNumber<std::uint32_t>(
    "connections", service.connections, 1, kCountLimit);
  const auto works = reader.ReadObject("works");
  for (const auto& [work, entry] : works.items()) {
    CheckName(path + ".works", work);
    service.works[work] =
      ReadWork(fmt::format("{}.works.{}", path, work), entry);
  }
  reader.Finish();
  return service;
}

static auto CheckReferences(const PlanLists& aLists) -> void
{
  for (const auto& [name, service] : aLists.services) {
    for (const auto& plan : service.plans) {
      if (!aLists.plans.contains(plan)) {
        throw Fault{ ListsError::Reference,
                     fmt::format("services.{}.plans: there is no plan {}", name,
                                 plan) };
      }
    }
  }
}

static auto ReadDocument(const json& aDocument) -> PlanLists
{
  EntryReader reader(aDocument, "lists");
  PlanLists lists;
  const auto plans = reader.ReadObject("plans");
  for (const auto& [name, entry] : plans.items()) {
    CheckName("plans", name);
    lists.plans[name] = ReadPlan(name, entry);
  }
  const auto services = reader.ReadObject("services");
  for (const auto& [name, entry] : services.items()) {
    CheckName("services", name);
    lists.services[name] = ReadService(name, entry);
  }
  lists.edits = reader.ReadTexts("edits");
  reader.Finish();
  CheckReferences(lists);
  return lists;
}

auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail) -> PlanLists
{
  aError.clear();
  aDetail.clear();
  if (aDocument.size() > kDocumentBytes) {
    aError = ListsError::TooLarge;
    aDetail =
      fmt::format("{} bytes, allowed {}", aDocument.size(), kDocumentBytes);
    return {};
  }
  try {
    return ReadDocument(json::parse(aDocument));
  } catch (const json::exception& failure) {
    aError = ListsError::Syntax;
    aDetail = failure.what();
  } catch (const Fault& fault) {
    aError = fault.error;
    aDetail = fault.detail;
  }
  return {};
}

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

auto FormatLists(const PlanLists& aLists) -> std::string
{
  json document{ { "plans", json::object() },
                 { "services", json::object() },
                 { "edits", aLists.edits } };
  for (const auto& [name, plan] : aLists.plans) {
    document["plans"][name] = FormatPlan(plan);
  }
  for (const auto& [name, service] : aLists.services) {
    document["services"][name] = FormatService(service);
  }
  return document.dump();
}

} // namespace bramleylock::lists
