// The operators' two lists: customers' plans, and what each plan may use.
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

/// How urgent a kind of work is; lower values go first.
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

/// How long a kind of work holds its slot and its connection.
enum class SizeClass
{
  Short,
  Long
};

inline constexpr std::array<NameRow<SizeClass>, 2> kSizeClassNames{ {
  { SizeClass::Short, "short" },
  { SizeClass::Long, "long" },
} };

/// Whether a request may run again when its outcome is not known.
enum class Execution
{
  Repeatable,
  AtMostOnce
};

inline constexpr std::array<NameRow<Execution>, 2> kExecutionNames{ {
  { Execution::Repeatable, "repeatable" },
  { Execution::AtMostOnce, "at-most-once" },
} };

/// One customer's plan.
struct Plan
{
  /// BLAKE2b-256 of the secret in the plan's credential, in hexadecimal.
  std::string secretHash;
  /// Share of a contended service, relative to other plans' weights.
  double weight = 1;
  /// Requests a second over the whole fleet; 0 is no limit.
  double ratePerSecond = 0;
  /// Requests in flight over the whole fleet; 0 is no limit.
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

/// One service and who may use it.
struct Service
{
  /// Names of the plans that may use it.
  std::vector<std::string> plans;
  std::map<std::string, Work> works;
  /// Requests that one target host runs at the same time.
  std::uint32_t slots = 1;
  /// Connections that one target host accepts.
  std::uint32_t connections = 2000;

  auto operator==(const Service&) const -> bool = default;
};

/// The edit that last changed an entry. Stamps of one entry are totally
/// ordered; the highest one wins.
struct Stamp
{
  /// Revision of the lists that the edit made.
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
  /// Revision of the lists that the edit made.
  std::uint64_t revision = 0;
  /// Milliseconds since the Unix epoch, by the clock of the balancer that
  /// accepted it.
  std::uint64_t acceptedAtMs = 0;
  /// Paths of the entries that it changed.
  std::vector<std::string> entries;

  auto operator==(const EditRecord&) const -> bool = default;
};

/// Both lists at one revision. The revision stands in the document and orders
/// everything; the store's own revision serves compare-and-swap only.
struct PlanLists
{
  std::uint64_t revision = 0;
  std::map<std::string, Plan> plans;
  std::map<std::string, Service> services;
  /// Stamps by entry path, such as "plans/clubs"; a path without an entry is
  /// a removed entry.
  std::map<std::string, Stamp> stamps;
  /// Removed entries with stamps up to this revision are no longer kept.
  std::uint64_t forgottenRevision = 0;
  /// Recent edits in the order of their revisions, newest last.
  std::vector<EditRecord> edits;

  auto operator==(const PlanLists&) const -> bool = default;
};

/// Whether a document may name plans that it does not hold.
enum class References
{
  /// Refuses the document.
  Checked,
  /// Accepts it, as merged documents need; see WithoutDangling.
  Unchecked
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
  { ListsError::Reference, "the lists name an entry that does not exist" },
  { ListsError::TooLarge, "the lists are larger than the store can hold" },
} };

/// The largest document that the store takes.
inline constexpr std::size_t kDocumentBytes = 1000000;

/// The most edits that the document keeps.
inline constexpr std::size_t kEditsKept = 64;

/// The most removed entries that the document keeps stamps of.
inline constexpr std::size_t kRemovedKept = 1024;

inline constexpr const char* kPlanPrefix = "plans/";
inline constexpr const char* kServicePrefix = "services/";

/// Parses and validates a document; aDetail says which entry is wrong.
auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail,
                References aReferences = References::Checked) -> PlanLists;

/// Parses one entry, such as "plans/clubs", into aLists.
auto ParseEntry(const std::string& aPath, const std::string& aEntry,
                PlanLists& aLists, std::error_code& aError,
                std::string& aDetail) -> void;

/// The document that ParseLists reads, without needless space.
auto FormatLists(const PlanLists& aLists) -> std::string;

/// The JSON of one entry; "null" when aLists does not hold it.
auto FormatEntry(const PlanLists& aLists, const std::string& aPath)
  -> std::string;

/// The name in aPath when it starts with aPrefix; empty otherwise.
auto NameIn(const std::string& aPath, const std::string& aPrefix)
  -> std::string;

/// Paths of all entries of aLists.
auto EntryPaths(const PlanLists& aLists) -> std::vector<std::string>;

} // namespace bramleylock::lists

BRAMLEYLOCK_ERROR_ENUM(bramleylock::lists, ListsError, kListsErrorNames,
                       "bramleylock.lists");
