// Parses and validates the JSON form of the lists; ListDocument.cpp writes it.

#include "bramleylock/Lists/PlanLists.h"

#include "bramleylock/Support/Json.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::lists {

using nlohmann::json;

static constexpr std::size_t kMaxNameBytes = 64;
static constexpr std::size_t kSecretHashDigits = 64;
static constexpr double kMaxWeight = 1000;
static constexpr double kMaxRatePerSecond = 1e6;
static constexpr std::uint32_t kMaxCount = 1000000;
static constexpr std::uint32_t kMaxDeadlineMs = 3600000;

/// Highest revision: 2^53, up to which integers are exact also in JSON readers
/// that store numbers as doubles.
static constexpr std::uint64_t kMaxRevision = 1ULL << 53U;

namespace {

/// Exception thrown at the first invalid field; it does not leave this file.
struct ParseError
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
      throw ParseError{ ListsError::Field, m_path + ": expected an object" };
    }
  }

  template<typename Number>
  auto ReadNumber(const char* aKey, Number aDefault, Number aMinimum,
                  Number aMaximum) -> Number
  {
    const auto* value = FindField(aKey);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || value->get<double>() < double(aMinimum) ||
        value->get<double>() > double(aMaximum)) {
      ThrowFieldError(aKey, fmt::format("found {}, allowed {} to {}",
                                        FormatJsonExcerpt(*value), aMinimum,
                                        aMaximum));
    }
    return value->get<Number>();
  }

  auto ReadString(const char* aKey) -> std::string
  {
    const auto* value = FindField(aKey);
    if (value == nullptr || !value->is_string()) {
      ThrowFieldError(aKey, "expected a string");
    }
    return value->get<std::string>();
  }

  auto ReadStrings(const char* aKey) -> std::vector<std::string>
  {
    std::vector<std::string> strings;
    const auto* value = FindField(aKey);
    if (value == nullptr) {
      return strings;
    }
    if (!value->is_array()) {
      ThrowFieldError(aKey, "expected an array of strings");
    }
    for (const auto& item : *value) {
      if (!item.is_string()) {
        ThrowFieldError(aKey, "expected an array of strings");
      }
      strings.push_back(item.get<std::string>());
    }
    return strings;
  }

  template<typename Enum, std::size_t Size>
  auto ReadEnum(const char* aKey, const std::array<NameRow<Enum>, Size>& aTable,
                Enum aDefault) -> Enum
  {
    const auto* value = FindField(aKey);
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
      ThrowFieldError(aKey, fmt::format("found {}, allowed {}",
                                        FormatJsonExcerpt(*value), allowed));
    }
    return *found;
  }

  /// Returns the object at aKey, or an empty one when the field is missing.
  auto ReadObject(const char* aKey) -> json
  {
    const auto* value = FindField(aKey);
    if (value == nullptr) {
      return json::object();
    }
    if (!value->is_object()) {
      ThrowFieldError(aKey, "expected an object");
    }
    return *value;
  }

  /// Returns the array at aKey, or an empty one when the field is missing.
  auto ReadArray(const char* aKey) -> json
  {
    const auto* value = FindField(aKey);
    if (value == nullptr) {
      return json::array();
    }
    if (!value->is_array()) {
      ThrowFieldError(aKey, "expected an array");
    }
    return *value;
  }

  /// Rejects the object if it has fields that were not read.
  auto RejectUnknownFields() -> void
  {
    for (const auto& [key, value] : m_entry.items()) {
      if (!m_readFields.contains(key)) {
        ThrowFieldError(key.c_str(), "unknown field");
      }
    }
  }

private:
  auto FindField(const char* aKey) -> const json*
  {
    m_readFields.emplace(aKey, true);
    const auto found = m_entry.find(aKey);
    return found == m_entry.end() ? nullptr : &*found;
  }

  [[noreturn]] auto ThrowFieldError(const char* aKey,
                                    const std::string& aReason) -> void
  {
    throw ParseError{ ListsError::Field,
                      fmt::format("{}.{}: {}", m_path, aKey, aReason) };
  }

  const json& m_entry;
  std::string m_path;
  std::map<std::string, bool> m_readFields;
};

} // namespace

static auto ValidateEntryName(const std::string& aPath,
                              const std::string& aName) -> void
{
  const bool valid =
    std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
      return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
             aCharacter == '-' || aCharacter == '_';
    });
  if (aName.empty() || aName.size() > kMaxNameBytes || !valid) {
    throw ParseError{ ListsError::Field,
                      fmt::format(
                        "{}: name {} must be 1 to {} letters, digits, "
                        "hyphens or underscores",
                        aPath, json(aName).dump(), kMaxNameBytes) };
  }
}

static auto ReadPlan(const std::string& aName, const json& aEntry) -> Plan
{
  EntryReader reader(aEntry, "plans." + aName);
  Plan plan;
  plan.secretHash = reader.ReadString("secret_hash");
  if (plan.secretHash.size() != kSecretHashDigits) {
    throw ParseError{ ListsError::Field,
                      fmt::format(
                        "plans.{}.secret_hash: expected {} hexadecimal "
                        "digits",
                        aName, kSecretHashDigits) };
  }
  plan.weight = reader.ReadNumber("weight", 1.0, 0.001, kMaxWeight);
  plan.ratePerSecond =
    reader.ReadNumber("rate_per_second", 0.0, 0.0, kMaxRatePerSecond);
  plan.concurrency =
    reader.ReadNumber<std::uint32_t>("concurrency", 0, 0, kMaxCount);
  plan.failureDomains = reader.ReadStrings("failure_domains");
  reader.RejectUnknownFields();
  return plan;
}

static auto ReadWork(const std::string& aPath, const json& aEntry) -> Work
{
  EntryReader reader(aEntry, aPath);
  Work work;
  work.urgency = reader.ReadEnum("urgency", kUrgencyNames, work.urgency);
  work.size = reader.ReadEnum("size", kSizeClassNames, work.size);
  work.execution =
    reader.ReadEnum("execution", kExecutionNames, work.execution);
  work.deadlineMs = reader.ReadNumber<std::uint32_t>(
    "deadline_ms", work.deadlineMs, 1, kMaxDeadlineMs);
  reader.RejectUnknownFields();
  return work;
}

static auto ReadService(const std::string& aName, const json& aEntry) -> Service
{
  const auto path = "services." + aName;
  EntryReader reader(aEntry, path);
  Service service;
  service.plans = reader.ReadStrings("plans");
  service.slots = reader.ReadNumber<std::uint32_t>("slots", 1, 1, kMaxCount);
  service.connections = reader.ReadNumber<std::uint32_t>(
    "connections", service.connections, 1, kMaxCount);
  const auto works = reader.ReadObject("works");
  for (const auto& [work, entry] : works.items()) {
    ValidateEntryName(path + ".works", work);
    service.works[work] =
      ReadWork(fmt::format("{}.works.{}", path, work), entry);
  }
  reader.RejectUnknownFields();
  return service;
}

static auto ValidateReferences(const PlanLists& aLists) -> void
{
  for (const auto& [name, service] : aLists.services) {
    for (const auto& plan : service.plans) {
      if (!aLists.plans.contains(plan)) {
        throw ParseError{ ListsError::Reference,
                          fmt::format("services.{}.plans: there is no plan {}",
                                      name, plan) };
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
      reader.ReadNumber<std::uint64_t>("revision", 1, 1, kMaxRevision);
    stamp.edit = reader.ReadString("edit");
    reader.RejectUnknownFields();
  }
  return stamps;
}

static auto ReadEdits(const json& aEdits) -> std::vector<EditRecord>
{
  std::vector<EditRecord> edits;
  for (const auto& entry : aEdits) {
    EntryReader reader(entry, "edits");
    EditRecord edit;
    edit.id = reader.ReadString("id");
    edit.revision =
      reader.ReadNumber<std::uint64_t>("revision", 1, 1, kMaxRevision);
    edit.acceptedAtMs =
      reader.ReadNumber<std::uint64_t>("accepted_at_ms", 0, 0, kMaxRevision);
    edit.entries = reader.ReadStrings("entries");
    reader.RejectUnknownFields();
    edits.push_back(std::move(edit));
  }
  return edits;
}

/// Parses aText; throws on malformed or too deeply nested texts.
static auto ParseBounded(const std::string& aText) -> json
{
  if (ExceedsMaxJsonDepth(aText)) {
    throw ParseError{ ListsError::Syntax,
                      fmt::format("nested deeper than {} levels",
                                  kMaxJsonDepth) };
  }
  return json::parse(aText);
}

static auto ReadDocument(const json& aDocument, ReferenceCheck aReferenceCheck)
  -> PlanLists
{
  EntryReader reader(aDocument, "lists");
  PlanLists lists;
  lists.revision =
    reader.ReadNumber<std::uint64_t>("revision", 1, 1, kMaxRevision);
  lists.forgottenRevision =
    reader.ReadNumber<std::uint64_t>("forgotten_revision", 0, 0, kMaxRevision);
  const auto plans = reader.ReadObject("plans");
  for (const auto& [name, entry] : plans.items()) {
    ValidateEntryName("plans", name);
    lists.plans[name] = ReadPlan(name, entry);
  }
  const auto services = reader.ReadObject("services");
  for (const auto& [name, entry] : services.items()) {
    ValidateEntryName("services", name);
    lists.services[name] = ReadService(name, entry);
  }
  lists.stamps = ReadStamps(reader.ReadObject("stamps"));
  lists.edits = ReadEdits(reader.ReadArray("edits"));
  reader.RejectUnknownFields();
  // Entries that no edit has changed get the lowest stamp, that of the first
  // revision.
  for (const auto& path : EntryPaths(lists)) {
    lists.stamps.try_emplace(path, Stamp{ 1, {} });
  }
  if (aReferenceCheck == ReferenceCheck::Required) {
    ValidateReferences(lists);
  }
  return lists;
}

auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail, ReferenceCheck aReferenceCheck)
  -> PlanLists
{
  aError.clear();
  aDetail.clear();
  if (aDocument.size() > kMaxDocumentBytes) {
    aError = ListsError::TooLarge;
    aDetail = fmt::format("document of {} bytes, at most {} allowed",
                          aDocument.size(), kMaxDocumentBytes);
    return {};
  }
  try {
    return ReadDocument(ParseBounded(aDocument), aReferenceCheck);
  } catch (const json::exception& failure) {
    aError = ListsError::Syntax;
    aDetail = failure.what();
  } catch (const ParseError& parseError) {
    aError = parseError.error;
    aDetail = parseError.detail;
  }
  return {};
}

auto EntryName(const std::string& aPath, const std::string& aPrefix)
  -> std::string
{
  return aPath.starts_with(aPrefix) ? aPath.substr(aPrefix.size()) : "";
}

auto ParseEntry(const std::string& aPath, const std::string& aEntry,
                PlanLists& aLists, std::error_code& aError,
                std::string& aDetail) -> void
{
  aError.clear();
  const auto plan = EntryName(aPath, kPlanPrefix);
  const auto service = EntryName(aPath, kServicePrefix);
  try {
    const auto entry = ParseBounded(aEntry);
    if (!plan.empty()) {
      ValidateEntryName("plans", plan);
      aLists.plans[plan] = ReadPlan(plan, entry);
      return;
    }
    ValidateEntryName("services", service);
    aLists.services[service] = ReadService(service, entry);
  } catch (const json::exception& failure) {
    aError = ListsError::Syntax;
    aDetail = failure.what();
  } catch (const ParseError& parseError) {
    aError = parseError.error;
    aDetail = parseError.detail;
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
