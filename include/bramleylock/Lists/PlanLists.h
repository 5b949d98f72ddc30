// The operators' lists: client accounts' plans, and the services they may use.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <tuple>
#include <vector>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::lists {

/// Priority of a kind of work; lower values are scheduled first.
enum class Urgency
{
  Urgent,
  Normal,
  Bulk
};

inline constexpr std::array<NameRow<Urgency>, 3> kUrgencyNames{ {
  { Urgency::Urgent, "urgent" },
  { Urgency::Normal, "normal" },
  { Urgency::Bulk, "bulk" },
} };

/// Expected duration for which a kind of work occupies a slot and a connection.
enum class SizeClass
{
  Short,
  Long
};

inline constexpr std::array<NameRow<SizeClass>, 2> kSizeClassNames{ {
  { SizeClass::Short, "short" },
  { SizeClass::Long, "long" },
} };

/// Whether a request may be executed again when its outcome is unknown.
enum class Execution
{
  Repeatable,
  AtMostOnce
};

inline constexpr std::array<NameRow<Execution>, 2> kExecutionNames{ {
  { Execution::Repeatable, "repeatable" },
  { Execution::AtMostOnce, "at-most-once" },
} };

/// The plan of one client account.
struct Plan
{
  /// BLAKE2b-256 of the secret in the plan's credential, in hexadecimal.
  std::string secretHash;
  /// Weight of the plan's share of a contended service, relative to the weights
  /// of the other plans.
  double weight = 1;
  /// Limit on requests per second over the whole fleet; 0 means no limit.
  double ratePerSecond = 0;
  /// Limit on requests in flight over the whole fleet; 0 means no limit.
  std::uint32_t concurrency = 0;
  /// Failure domains that may serve the plan; empty means all.
  std::vector<std::string> failureDomains;

  auto operator==(const Plan&) const -> bool = default;
};

/// One kind of work of a service.
struct Work
{
  Urgency urgency = Urgency::Normal;
  SizeClass size = SizeClass::Short;
  Execution execution = Execution::Repeatable;
  std::uint32_t deadlineMs = 5000;

  auto operator==(const Work&) const -> bool = default;
};

/// One service and the plans that may use it.
struct Service
{
  /// Names of the plans that may use the service.
  std::vector<std::string> plans;
  std::map<std::string, Work> works;
  /// Number of requests that one target host executes concurrently.
  std::uint32_t slots = 1;
  /// Number of connections that one target host accepts.
  std::uint32_t connections = 2000;

  auto operator==(const Service&) const -> bool = default;
};

/// Version of an entry: the edit that last changed it. Stamps are totally
/// ordered, by revision and then by edit; the highest one wins a merge.
struct Stamp
{
  /// Revision of the lists that the edit created.
  std::uint64_t revision = 0;
  std::string edit;

  auto operator==(const Stamp& aOther) const -> bool
  {
    return revision == aOther.revision && edit == aOther.edit;
  }

  auto operator<(const Stamp& aOther) const -> bool
  {
    return std::tie(revision, edit) < std::tie(aOther.revision, aOther.edit);
  }
};

/// One accepted edit.
struct EditRecord
{
  std::string id;
  /// Revision of the lists that the edit created.
  std::uint64_t revision = 0;
  /// Milliseconds since the Unix epoch, by the clock of the balancer that
  /// accepted it.
  std::uint64_t acceptedAtMs = 0;
  /// Paths of the entries that the edit changed.
  std::vector<std::string> entries;

  auto operator==(const EditRecord&) const -> bool = default;
};

/// Both lists at one revision. This revision is part of the document and orders
/// all edits; the store's own revision of the key is used for compare-and-swap
/// only.
struct PlanLists
{
  std::uint64_t revision = 0;
  std::map<std::string, Plan> plans;
  std::map<std::string, Service> services;
  /// Stamps by entry path, such as "plans/clubs". A stamp without an entry is
  /// the tombstone of a removed entry.
  std::map<std::string, Stamp> stamps;
  /// Tombstones with revisions up to this one have been pruned.
  std::uint64_t forgottenRevision = 0;
  /// Recent edits, sorted by revision with the newest last.
  std::vector<EditRecord> edits;

  auto operator==(const PlanLists&) const -> bool = default;
};

/// Whether references to plans that a document does not contain are rejected.
enum class ReferenceCheck
{
  /// Rejects the document.
  Required,
  /// Accepts the document. A merged document can have such references; see
  /// WithoutDanglingReferences.
  Skipped
};

enum class ListsError
{
  Syntax = 1,
  Field,
  Reference,
  TooLarge
};

inline constexpr std::array<NameRow<ListsError>, 4> kListsErrorNames{ {
  { ListsError::Syntax, "the lists are not valid JSON" },
  { ListsError::Field, "a field of the lists is missing or out of range" },
  { ListsError::Reference, "the lists refer to an entry that does not exist" },
  { ListsError::TooLarge, "the lists exceed the size limit of the store" },
} };

/// Maximum size of a document that the store accepts.
inline constexpr std::size_t kMaxDocumentBytes = 1000000;

/// Maximum number of recent edits in the document.
inline constexpr std::size_t kMaxEditRecords = 64;

/// Maximum number of tombstones in the document.
inline constexpr std::size_t kMaxTombstones = 1024;

inline constexpr const char* kPlanPrefix = "plans/";
inline constexpr const char* kServicePrefix = "services/";

/// Parses and validates a document. On failure aDetail names the invalid field
/// and what is allowed there.
auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail,
                ReferenceCheck aReferenceCheck = ReferenceCheck::Required)
  -> PlanLists;

/// Parses the entry at aPath, such as "plans/clubs", into aLists.
auto ParseEntry(const std::string& aPath, const std::string& aEntry,
                PlanLists& aLists, std::error_code& aError,
                std::string& aDetail) -> void;

/// Formats aLists as a compact JSON document, which ParseLists accepts.
auto FormatLists(const PlanLists& aLists) -> std::string;

/// Formats the entry at aPath as JSON; "null" when aLists does not hold it.
auto FormatEntry(const PlanLists& aLists, const std::string& aPath)
  -> std::string;

/// Returns the rest of aPath after aPrefix, which is the name of the entry;
/// empty when aPath does not start with aPrefix.
auto EntryName(const std::string& aPath, const std::string& aPrefix)
  -> std::string;

/// Returns the paths of all entries of aLists.
auto EntryPaths(const PlanLists& aLists) -> std::vector<std::string>;

} // namespace bramleylock::lists

BRAMLEYLOCK_ERROR_ENUM(bramleylock::lists, ListsError, kListsErrorNames,
                       "bramleylock.lists");
