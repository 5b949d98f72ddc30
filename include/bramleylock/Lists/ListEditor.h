// Acceptance of operators' edits.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "bramleylock/Lists/ListKeeper.h"
#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Lists/PlatformStore.h"

namespace bramleylock::lists {

enum class EditStatus
{
  /// Written, or found written by an earlier try of the same edit.
  Accepted,
  /// Nothing to write: every entry is as wanted.
  Unchanged,
  /// What a dry run would have accepted.
  DryRun,
  Conflict,
  Invalid,
  /// Nothing was written.
  Unavailable,
  /// A write was sent and its answer is lost; ask again with the same id.
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
  /// Revision that the edit made, or would make.
  std::uint64_t revision = 0;
  std::string detail;
  std::vector<EntryConflict> conflicts;
  /// Changes that were, or would be, made.
  std::vector<EntryChange> changes;
};

enum class EditMode
{
  Write,
  DryRun
};

struct EditorOptions
{
  /// How long an edit is tried before its outcome is reported as it stands.
  Milliseconds budget{ 4000 };
  /// Pause before the second try; later ones double it, up to the longest.
  Milliseconds firstPause{ 20 };
  Milliseconds longestPause{ 100 };
};

/// Writes edits to the store by compare-and-swap.
class ListEditor
{
public:
  ListEditor(PlatformStore& aStore, ListKeeper& aLists, Metrics& aMetrics,
             EditorOptions aOptions = {});

  /// Merges aEdit into the newest lists, those in the store or those in force
  /// here, and writes them. Repeating an edit with the same id never writes it
  /// twice.
  auto Submit(Edit aEdit, EditMode aMode) -> awaitable<EditResult>;

  /// Writes the lists in force to the store when it holds others, as after the
  /// store was restored to an older state. True when the store holds them.
  auto WriteBack() -> awaitable<bool>;

  /// Whether aDocument holds the lists in force, in whatever spelling.
  auto Holds(const std::string& aDocument) const -> bool;

private:
  /// What one edit may still spend on calls that failed.
  struct Retries
  {
    Clock::time_point limit;
    Milliseconds pause;
  };

  /// Pauses before a retry; false, at once, when there is no time for one.
  auto Pause(Retries& aRetries) -> awaitable<bool>;

  /// Writes aDocument, again and again while the outcome is not known.
  auto Write(std::uint64_t aExpected, const std::string& aDocument,
             Retries& aRetries, EditResult& aResult, std::error_code& aError)
    -> awaitable<void>;

  /// Reads the store's lists into the keeper, and returns their revision in
  /// the store.
  auto Refresh(std::error_code& aError) -> awaitable<std::uint64_t>;
  auto TryOnce(const Edit& aEdit, EditMode aMode, Retries& aRetries,
               EditResult& aResult) -> awaitable<bool>;
  auto InForce() const -> PlanLists;

  PlatformStore& m_store;
  ListKeeper& m_lists;
  Metrics& m_metrics;
  EditorOptions m_options;
};

} // namespace bramleylock::lists
