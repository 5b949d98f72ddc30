// Applies operators' edits to the lists in the platform's store.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Lists/PlatformStore.h"

namespace bramleylock::lists {

enum class EditStatus
{
  /// Written by this submission or an earlier one with the same id.
  Accepted,
  /// Nothing to write: every entry already has the wanted value.
  Unchanged,
  /// Dry run: the edit would have been accepted.
  DryRun,
  Conflict,
  Invalid,
  /// Nothing was written, as the store is unavailable or other writers kept
  /// changing it.
  Unavailable,
  /// A write was sent and its answer was lost. Submit again with the same id to
  /// learn the outcome.
  Unknown
};

inline constexpr std::array<NameRow<EditStatus>, 7> kEditStatusNames{ {
  { EditStatus::Accepted, "accepted" },
  { EditStatus::Unchanged, "unchanged" },
  { EditStatus::DryRun, "dry-run" },
  { EditStatus::Conflict, "conflict" },
  { EditStatus::Invalid, "invalid" },
  { EditStatus::Unavailable, "unavailable" },
  { EditStatus::Unknown, "unknown" },
} };

struct EditResult
{
  EditStatus status = EditStatus::Unavailable;
  /// Revision that the edit created, or would create in a dry run.
  std::uint64_t revision = 0;
  std::string detail;
  std::vector<EntryConflict> conflicts;
  /// Changes that the edit made, or would make in a dry run.
  std::vector<EntryChange> changes;
};

enum class EditMode
{
  Write,
  DryRun
};

struct EditorOptions
{
  /// Time limit for retries, after which the current outcome is reported.
  Milliseconds retryTimeout{ 4000 };
  /// Backoff before the first retry; it doubles with each retry up to
  /// maxBackoff.
  Milliseconds initialBackoff{ 20 };
  Milliseconds maxBackoff{ 100 };
};

/// Writes edits to the store with compare-and-swap.
class ListEditor
{
public:
  ListEditor(PlatformStore& aStore, ListReplica& aLists, Metrics& aMetrics,
             EditorOptions aOptions = {});

  /// Merges aEdit into the newest lists, which are the merge of those in the
  /// store and those in force here, and writes the result. An edit that is
  /// repeated with the same id is never applied twice.
  auto Submit(Edit aEdit, EditMode aMode) -> awaitable<EditResult>;

  /// Writes the lists in force to the store when it holds different ones, for
  /// example after it was restored to an older state. Returns whether the store
  /// holds the lists in force.
  auto WriteBack() -> awaitable<bool>;

  /// Returns whether aDocument, parsed, equals the lists in force; its
  /// formatting does not matter.
  auto MatchesMergedLists(const std::string& aDocument) const -> bool;

private:
  /// Retry state of one edit.
  struct RetryState
  {
    Clock::time_point deadline;
    Milliseconds backoff;
    /// The store's revision, if the lists were read back after a write of
    /// unknown outcome and no call was made since.
    std::optional<std::uint64_t> revisionReadBack;
  };

  /// Sleeps before a retry. Returns false without sleeping when the time limit
  /// does not allow a retry.
  auto BackOff(RetryState& aRetryState) -> awaitable<bool>;

  /// Writes aDocument. While the outcome is unknown, reads the lists back and,
  /// if the read fails, sends the same write again.
  auto WriteDocument(std::uint64_t aExpected, const std::string& aDocument,
                     RetryState& aRetryState, EditResult& aResult,
                     std::error_code& aError) -> awaitable<void>;

  /// Merges the store's lists into those in force, and returns the revision of
  /// their key in the store.
  auto MergeStoredLists(std::error_code& aError) -> awaitable<std::uint64_t>;
  auto AttemptEdit(const Edit& aEdit, EditMode aMode, RetryState& aRetryState,
                   EditResult& aResult) -> awaitable<bool>;
  auto MergedLists() const -> PlanLists;

  PlatformStore& m_store;
  ListReplica& m_lists;
  Metrics& m_metrics;
  EditorOptions m_options;
};

} // namespace bramleylock::lists
