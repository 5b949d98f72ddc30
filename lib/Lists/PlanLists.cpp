// Parses and validates the JSON form of the lists; ListDocument.cpp writes it.

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

/// Highest revision: 2^53, up to which integers are exact also in JSON readers
/// that store numbers as doubles.
static constexpr std::uint64_t kRevisionLimit = 1ULL << 53U;

namespace {

/// Exception thrown at the first invalid field; it does not leave this file.
struct Fault
{
  ListsError error;
  std::string detail;
};

/// Reads the fields of one JSON object and rejects unknown fields.
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

  /// Returns the object at aKey, or an empty one when the field is missing.
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

  /// Returns the array at aKey, or an empty one when the field is missing.
  auto ReadArray(const char* aKey) -> json
  {
    const auto* value = Take(aKey);
    if (value == nullptr) {
      return json::array();
    }
    if (!value->is_array()) {
      Fail(aKey, "expected an array");
    }
    return *value;
  }

  /// Rejects the object if it has fields that were not read.
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

static auto ReadStamps(const json& aStamps) -> std::map<std::string, Stamp>
{
  std::map<std::string, Stamp> stamps;
  for (const auto& [path, entry] : aStamps.items()) {
    EntryReader reader(entry, "stamps." + path);
    auto& stamp = stamps[path];
    stamp.revision =
      reader.ReadNumber<std::uint64_t>("revision", 1, 1, kRevisionLimit);
    stamp.edit = reader.ReadText("edit");
    reader.Finish();
  }
  return stamps;
}

static auto ReadEdits(const json& aEdits) -> std::vector<EditRecord>
{
  std::vector<EditRecord> edits;
  for (const auto& entry : aEdits) {
    EntryReader reader(entry, "edits");
    EditRecord edit;
    edit.id = reader.ReadText("id");
    edit.revision =
      reader.ReadNumber<std::uint64_t>("revision", 1, 1, kRevisionLimit);
    edit.acceptedAtMs =
      reader.ReadNumber<std::uint64_t>("accepted_at_ms", 0, 0, kRevisionLimit);
    edit.entries = reader.ReadTexts("entries");
    reader.Finish();
    edits.push_back(std::move(edit));
  }
  return edits;
}

static auto ReadDocument(const json& aDocument, References aReferences)
  -> PlanLists
{
  EntryReader reader(aDocument, "lists");
  PlanLists lists;
  lists.revision =
    reader.ReadNumber<std::uint64_t>("revision", 1, 1, kRevisionLimit);
  lists.forgottenRevision = reader.ReadNumber<std::uint64_t>(
    "forgotten_revision", 0, 0, kRevisionLimit);
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
  lists.stamps = ReadStamps(reader.ReadObject("stamps"));
  lists.edits = ReadEdits(reader.ReadArray("edits"));
  reader.Finish();
  // Entries that no edit has changed get the lowest stamp, that of the first
  // revision.
  for (const auto& path : EntryPaths(lists)) {
    lists.stamps.try_emplace(path, Stamp{ 1, {} });
  }
  if (aReferences == References::Checked) {
    CheckReferences(lists);
  }
  return lists;
}

auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail, References aReferences) -> PlanLists
{
  aError.clear();
  aDetail.clear();
  if (aDocument.size() > kDocumentBytes) {
    aError = ListsError::TooLarge;
    aDetail = fmt::format("document of {} bytes, at most {} allowed",
                          aDocument.size(), kDocumentBytes);
    return {};
  }
  try {
    return ReadDocument(json::parse(aDocument), aReferences);
  } catch (const json::exception& failure) {
    aError = ListsError::Syntax;
    aDetail = failure.what();
  } catch (const Fault& fault) {
    aError = fault.error;
    aDetail = fault.detail;
  }
  return {};
}

auto NameIn(const std::string& aPath, const std::string& aPrefix) -> std::string
{
  return aPath.starts_with(aPrefix) ? aPath.substr(aPrefix.size()) : "";
}

auto ParseEntry(const std::string& aPath, const std::string& aEntry,
                PlanLists& aLists, std::error_code& aError,
                std::string& aDetail) -> void
{
  aError.clear();
  const auto plan = NameIn(aPath, kPlanPrefix);
  const auto service = NameIn(aPath, kServicePrefix);
  try {
    const auto entry = json::parse(aEntry);
    if (!plan.empty()) {
      CheckName("plans", plan);
      aLists.plans[plan] = ReadPlan(plan, entry);
      return;
    }
    CheckName("services", service);
    aLists.services[service] = ReadService(service, entry);
  } catch (const json::exception& failure) {
    aError = ListsError::Syntax;
    aDetail = failure.what();
  } catch (const Fault& fault) {
    aError = fault.error;
    aDetail = fault.detail;
  }
}

auto EntryPaths(const PlanLists& aLists) -> std::vector<std::string>
{
  std::vector<std::string> paths;
  for (const auto& [name, plan] : aLists.plans) {
    paths.push_back(kPlanPrefix + name);
  }
  for (const auto& [name, service] : aLists.services) {
    paths.push_back(kServicePrefix + name);
  }
  return paths;
}

} // namespace bramleylock::lists
