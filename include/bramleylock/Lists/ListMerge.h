// Merging of concurrently edited lists, and applying edits to lists.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::lists {

/// Side results of a merge.
struct MergeReport
{
  /// Paths of entries whose change was overridden by a concurrent edit with a
  /// higher stamp.
  std::vector<std::string> supersededPaths;
};

/// Merges two lists entry by entry; the version of an entry with the higher
/// stamp wins. Merging is commutative, associative and idempotent, so balancers
/// that have received the same lists hold the same result.
auto Merge(const PlanLists& aLeft, const PlanLists& aRight,
           MergeReport* aReport = nullptr) -> PlanLists;

/// The changes that a merge made.
struct MergeChanges
{
  /// Paths of changed entries and stamps.
  std::vector<std::string> paths;
  bool changed = false;
};

/// Merges aPart into aLists in place, with the result of Merge. The time
/// depends on the size of aPart, except that removals scan all stamps of
/// aLists. aPart must have a forgottenRevision of 0.
auto MergeInPlace(PlanLists& aLists, const PlanLists& aPart,
                  MergeReport& aReport) -> MergeChanges;

/// Returns the entries that were changed after aRevision, as lists to merge.
auto ChangesSince(const PlanLists& aLists, std::uint64_t aRevision)
  -> PlanLists;

/// Returns aLists without the services' references to plans that do not exist.
/// The merge of two valid lists can have such references when one side removes
/// a plan that the other refers to.
auto WithoutDanglingReferences(const PlanLists& aLists) -> PlanLists;

/// Returns whether the changes at aPaths can have caused dangling references in
/// lists that had none: one of the services there refers to a missing plan, or
/// one of the plans there is missing.
auto MayHaveDanglingReferences(const PlanLists& aLists,
                               const std::vector<std::string>& aPaths) -> bool;

/// Returns a digest that distinguishes different lists of the same revision.
auto DigestOf(const std::string& aDocument) -> std::uint64_t;

/// Returns whether the edit aId is among the recent edits of aLists.
auto HasEdit(const PlanLists& aLists, const std::string& aId) -> bool;

/// The change of one entry. Values are JSON; "null" stands for no entry.
struct EntryChange
{
  std::string path;
  /// The value that the editor read.
  std::string base;
  /// The value that the editor wants to write.
  std::string wanted;
};

/// One edit of an operator.
struct Edit
{
  /// Unguessable identifier chosen by the editor; the same in each repetition
  /// of the edit.
  std::string id;
  std::vector<EntryChange> changes;
};

/// An entry that another edit changed after the editor read it.
struct EntryConflict
{
  std::string path;
  std::string base;
  std::string wanted;
  std::string current;
  /// Identifier of the edit that wrote the current value.
  std::string otherEdit;
};

/// Returns aLists with aEdit applied and the next revision. Entries that the
/// edit does not name stay unchanged. Sets aError when the result is invalid.
/// When an entry has neither its base value nor its wanted one, fills
/// aConflicts and applies nothing.
auto ApplyEdit(const PlanLists& aLists, const Edit& aEdit, std::uint64_t aNowMs,
               std::vector<EntryConflict>& aConflicts, std::error_code& aError,
               std::string& aDetail) -> PlanLists;

/// Returns the changes that turn aBase into aWanted.
auto ChangesBetween(const PlanLists& aBase, const PlanLists& aWanted)
  -> std::vector<EntryChange>;

} // namespace bramleylock::lists
