// The operators' two lists: customers' plans, and what each plan may use.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
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
};

/// One kind of work of a service.
struct Work
{
  Urgency urgency = Urgency::Normal;
  SizeClass size = SizeClass::Short;
  Execution execution = Execution::Repeatable;
  std::uint32_t deadlineMs = 5000;
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
};

/// Both lists at one revision of the platform's store.
struct PlanLists
{
  std::uint64_t revision = 0;
  std::map<std::string, Plan> plans;
  std::map<std::string, Service> services;
  /// Identifiers of recent edits, newest last.
  std::vector<std::string> edits;
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

/// The most edit identifiers that the document keeps.
inline constexpr std::size_t kEditsKept = 64;

/// Parses and validates a document; aDetail says which entry is wrong.
auto ParseLists(const std::string& aDocument, std::error_code& aError,
                std::string& aDetail) -> PlanLists;

/// The document that ParseLists reads; the revision is not part of it.
auto FormatLists(const PlanLists& aLists) -> std::string;

} // namespace bramleylock::lists

BRAMLEYLOCK_ERROR_ENUM(bramleylock::lists, ListsError, kListsErrorNames,
                       "bramleylock.lists");
