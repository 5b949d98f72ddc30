// Merging of lists that were edited apart, and of edits into lists.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::lists {

/// What a merge did beside taking the higher stamps.
struct MergeNotes
{
  /// Paths of changes that a later one replaced without knowing them.
  std::vector<std::string> superseded;
};

/// Merges two lists entry by entry: of each entry the higher stamp wins. The
/// result does not depend on the order of merging, and merging again changes
/// nothing, so balancers that have seen the same lists hold the same result.
auto Merge(const PlanLists& aLeft, const PlanLists& aRight,
           MergeNotes* aNotes = nullptr) -> PlanLists;

/// What merging changed.
struct MergeChanges
{
  /// Paths of entries and stamps.
  std::vector<std::string> paths;
  bool any = false;
};

/// Merges aPart into aLists, with the result of Merge, in a time that goes by
/// the size of aPart. aPart must not have a forgotten revision.
auto MergePart(PlanLists& aLists, const PlanLists& aPart, MergeNotes& aNotes)
  -> MergeChanges;

/// The entries that were changed after aRevision, as lists to merge.
auto ChangesSince(const PlanLists& aLists, std::uint64_t aRevision)
  -> PlanLists;

/// aLists with services' references to removed plans left out. Two merged
/// lists can each be valid while one refers to what the other removes.
auto WithoutDangling(const PlanLists& aLists) -> PlanLists;

/// Whether a service at one of aPaths, or a plan that is missing there, leaves
/// WithoutDangling something to do in lists that had nothing before.
auto MayDangle(const PlanLists& aLists, const std::vector<std::string>& aPaths)
  -> bool;

/// Tells lists of the same revision apart.
auto DigestOf(const std::string& aDocument) -> std::uint64_t;

/// Whether the edit aId is among the recent edits of aLists.
auto HasEdit(const PlanLists& aLists, const std::string& aId) -> bool;

/// The change of one entry; documents are JSON, and "null" is no entry.
struct EntryChange
{
  std::string path;
  /// What the editor read.
  std::string base;
  /// What the editor wants.
  std::string wanted;
};

/// One edit of an operator.
struct Edit
{
  /// Unguessable, chosen by the editor, the same in each repetition.
  std::string id;
  std::vector<EntryChange> changes;
};

/// An entry that somebody else changed after the editor read it.
struct EntryConflict
{
  std::string path;
  std::string base;
  std::string wanted;
  std::string current;
  /// The edit that made the current entry.
  std::string otherEdit;
};

/// aLists after aEdit, with the next revision. Entries that the editor did
/// not touch stay as they are. Sets aError when the result is not valid; fills
/// aConflicts, and applies nothing, when an entry is neither as the editor
/// read it nor as it is wanted.
auto ApplyEdit(const PlanLists& aLists, const Edit& aEdit, std::uint64_t aNowMs,
               std::vector<EntryConflict>& aConflicts, std::error_code& aError,
               std::string& aDetail) -> PlanLists;

/// The changes that lead from aBase to aWanted.
auto ChangesBetween(const PlanLists& aBase, const PlanLists& aWanted)
  -> std::vector<EntryChange>;

} // namespace bramleylock::lists
