// Merges lists entry by entry, by comparing stamps.

#include "bramleylock/Lists/ListMerge.h"

#include "bramleylock/Support/Json.h"
#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <set>

namespace bramleylock::lists {

/// Number of hexadecimal digits of the document's hash that form the digest.
static constexpr std::size_t kDigestDigits = 16;

/// Copies the entry at aPath, if aFrom holds it. aTo must not hold it before.
static auto CopyEntry(const PlanLists& aFrom, const std::string& aPath,
                      PlanLists& aTo) -> void
{
  const auto name = aPath.substr(aPath.find('/') + 1);
  if (aPath.starts_with(kPlanPrefix)) {
    const auto found = aFrom.plans.find(name);
    if (found != aFrom.plans.end()) {
      aTo.plans[name] = found->second;
    }
    return;
  }
  const auto found = aFrom.services.find(name);
  if (found != aFrom.services.end()) {
    aTo.services[name] = found->second;
  }
}

static auto EraseEntry(PlanLists& aLists, const std::string& aPath) -> void
{
  const auto name = aPath.substr(aPath.find('/') + 1);
  if (aPath.starts_with(kPlanPrefix)) {
    aLists.plans.erase(name);
  } else {
    aLists.services.erase(name);
  }
}

static auto HasEntry(const PlanLists& aLists, const std::string& aPath) -> bool
{
  const auto name = aPath.substr(aPath.find('/') + 1);
  return aPath.starts_with(kPlanPrefix) ? aLists.plans.contains(name)
                                        : aLists.services.contains(name);
}

auto HasEdit(const PlanLists& aLists, const std::string& aId) -> bool
{
  return std::any_of(
    aLists.edits.begin(), aLists.edits.end(),
    [&aId](const EditRecord& aEdit) { return aEdit.id == aId; });
}

/// Adds to aReport the paths of entries whose edit is recorded only in aLocal
/// and was overridden by an edit that aRemote records. Edits older than the
/// edit history of aRemote are assumed to be known there.
static auto ReportSuperseded(const PlanLists& aLocal, const PlanLists& aRemote,
                             const PlanLists& aMerged, MergeReport& aReport)
  -> void
{
  for (const auto& edit : aLocal.edits) {
    if (aRemote.edits.empty() ||
        edit.revision < aRemote.edits.front().revision ||
        HasEdit(aRemote, edit.id)) {
      continue;
    }
    for (const auto& path : edit.entries) {
      const auto winner = aMerged.stamps.find(path);
      if (winner != aMerged.stamps.end() && winner->second.edit != edit.id &&
          winner->second.revision >= edit.revision &&
          HasEdit(aRemote, winner->second.edit)) {
        aReport.supersededPaths.push_back(path);
      }
    }
  }
}

static auto MergeEdits(const PlanLists& aLeft, const PlanLists& aRight)
  -> std::vector<EditRecord>
{
  std::map<std::pair<std::uint64_t, std::string>, EditRecord> byRevisionAndId;
  for (const auto* side : { &aLeft, &aRight }) {
    for (const auto& edit : side->edits) {
      const std::pair order{ edit.revision, edit.id };
      auto& mergedRecord = byRevisionAndId.emplace(order, edit).first->second;
      // An edit is written again when a restore of the store has undone its
      // first write; the two records then differ in their acceptance time.
      mergedRecord.acceptedAtMs =
        std::min(mergedRecord.acceptedAtMs, edit.acceptedAtMs);
      mergedRecord.entries = std::max(mergedRecord.entries, edit.entries);
    }
  }
  while (byRevisionAndId.size() > kMaxEditRecords) {
    byRevisionAndId.erase(byRevisionAndId.begin());
  }
  std::vector<EditRecord> edits;
  edits.reserve(byRevisionAndId.size());
  for (auto& [order, edit] : byRevisionAndId) {
    edits.push_back(std::move(edit));
  }
  return edits;
}

/// Prunes the oldest tombstones beyond kMaxTombstones and those with revisions
/// up to forgottenRevision; returns their paths.
static auto PruneTombstones(PlanLists& aLists) -> std::vector<std::string>
{
  std::vector<std::pair<std::uint64_t, std::string>> tombstones;
  for (const auto& [path, stamp] : aLists.stamps) {
    if (!HasEntry(aLists, path)) {
      tombstones.emplace_back(stamp.revision, path);
    }
  }
  std::sort(tombstones.begin(), tombstones.end());
  if (tombstones.size() > kMaxTombstones) {
    const auto& last = tombstones[tombstones.size() - kMaxTombstones - 1];
    aLists.forgottenRevision = std::max(aLists.forgottenRevision, last.first);
  }
  std::vector<std::string> prunedPaths;
  for (auto& [revision, path] : tombstones) {
    if (revision <= aLists.forgottenRevision) {
      aLists.stamps.erase(path);
      prunedPaths.push_back(std::move(path));
    }
  }
  return prunedPaths;
}

/// Returns whether an entry that only the other side holds, with the stamp
/// aRemoteStamp, was removed from aLocal and its tombstone has been pruned.
static auto IsTombstonePruned(const PlanLists& aLocal,
                              const Stamp& aRemoteStamp) -> bool
{
  return aRemoteStamp.revision <= aLocal.forgottenRevision;
}

/// Breaks the tie between two versions of an entry with the same stamp: returns
/// whether that of aRight wins, which is the one with the lexicographically
/// greater JSON.
static auto WinsTie(const PlanLists& aLeft, const PlanLists& aRight,
                    const std::string& aPath) -> bool
{
  return FormatEntry(aLeft, aPath) < FormatEntry(aRight, aPath);
}

auto Merge(const PlanLists& aLeft, const PlanLists& aRight,
           MergeReport* aReport) -> PlanLists
{
  PlanLists merged;
  merged.revision = std::max(aLeft.revision, aRight.revision);
  merged.forgottenRevision =
    std::max(aLeft.forgottenRevision, aRight.forgottenRevision);
  merged.edits = MergeEdits(aLeft, aRight);
  std::set<std::string> paths;
  for (const auto* side : { &aLeft, &aRight }) {
    for (const auto& [path, stamp] : side->stamps) {
      paths.insert(path);
    }
  }
  for (const auto& path : paths) {
    const auto left = aLeft.stamps.find(path);
    const auto right = aRight.stamps.find(path);
    const bool inLeft = left != aLeft.stamps.end();
    const bool inRight = right != aRight.stamps.end();
    if (!inLeft || !inRight) {
      const auto& holder = inLeft ? aLeft : aRight;
      const auto& stamp = inLeft ? left->second : right->second;
      if (!IsTombstonePruned(inLeft ? aRight : aLeft, stamp)) {
        merged.stamps[path] = stamp;
        CopyEntry(holder, path, merged);
      }
      continue;
    }
    const bool takeLeft = left->second == right->second
                            ? !WinsTie(aLeft, aRight, path)
                            : right->second < left->second;
    const auto& winner = takeLeft ? aLeft : aRight;
    merged.stamps[path] = takeLeft ? left->second : right->second;
    CopyEntry(winner, path, merged);
  }
  PruneTombstones(merged);
  if (aReport != nullptr) {
    ReportSuperseded(aLeft, aRight, merged, *aReport);
    ReportSuperseded(aRight, aLeft, merged, *aReport);
  }
  return merged;
}

/// Returns whether the version of the entry at aPath in aPart, with the stamp
/// aStamp, replaces that in aLists.
static auto ReplacesEntry(const PlanLists& aLists, const PlanLists& aPart,
                          const std::string& aPath, const Stamp& aStamp) -> bool
{
  const auto held = aLists.stamps.find(aPath);
  if (held == aLists.stamps.end()) {
    return !IsTombstonePruned(aLists, aStamp);
  }
  return held->second == aStamp ? WinsTie(aLists, aPart, aPath)
                                : held->second < aStamp;
}

auto MergeInPlace(PlanLists& aLists, const PlanLists& aPart,
                  MergeReport& aReport) -> MergeChanges
{
  assert(aPart.forgottenRevision == 0);
  PlanLists before;
  before.edits = aLists.edits;
  MergeChanges changes;
  bool removed = false;
  for (const auto& [path, stamp] : aPart.stamps) {
    if (!ReplacesEntry(aLists, aPart, path, stamp)) {
      continue;
    }
    EraseEntry(aLists, path);
    CopyEntry(aPart, path, aLists);
    aLists.stamps[path] = stamp;
    removed = removed || !HasEntry(aLists, path);
    changes.paths.push_back(path);
  }
  aLists.edits = MergeEdits(before, aPart);
  changes.changed = !changes.paths.empty() ||
                    aPart.revision > aLists.revision ||
                    aLists.edits != before.edits;
  aLists.revision = std::max(aLists.revision, aPart.revision);
  if (removed) {
    for (auto& path : PruneTombstones(aLists)) {
      changes.paths.push_back(std::move(path));
    }
  }
  ReportSuperseded(before, aPart, aLists, aReport);
  ReportSuperseded(aPart, before, aLists, aReport);
  return changes;
}

auto MayHaveDanglingReferences(const PlanLists& aLists,
                               const std::vector<std::string>& aPaths) -> bool
{
  return std::any_of(
    aPaths.begin(), aPaths.end(), [&aLists](const std::string& aPath) {
      const auto found = aLists.services.find(EntryName(aPath, kServicePrefix));
      if (found == aLists.services.end()) {
        return aPath.starts_with(kPlanPrefix) && !HasEntry(aLists, aPath);
      }
      const auto& plans = found->second.plans;
      return std::any_of(plans.begin(), plans.end(),
                         [&aLists](const std::string& aPlan) {
                           return !aLists.plans.contains(aPlan);
                         });
    });
}

auto ChangesSince(const PlanLists& aLists, std::uint64_t aRevision) -> PlanLists
{
  PlanLists changes;
  changes.revision = aLists.revision;
  for (const auto& [path, stamp] : aLists.stamps) {
    if (stamp.revision > aRevision) {
      changes.stamps[path] = stamp;
      CopyEntry(aLists, path, changes);
    }
  }
  for (const auto& edit : aLists.edits) {
    if (edit.revision > aRevision) {
      changes.edits.push_back(edit);
    }
  }
  return changes;
}

auto WithoutDanglingReferences(const PlanLists& aLists) -> PlanLists
{
  auto lists = aLists;
  for (auto& [name, service] : lists.services) {
    std::erase_if(service.plans, [&lists](const std::string& aPlan) {
      return !lists.plans.contains(aPlan);
    });
  }
  return lists;
}

auto DigestOf(const std::string& aDocument) -> std::uint64_t
{
  return std::stoull(Blake2bHex(aDocument).substr(0, kDigestDigits), nullptr,
                     16);
}

/// Compares two JSON texts by value, so that the order of keys does not matter.
static auto EqualJson(const std::string& aLeft, const std::string& aRight)
  -> bool
{
  return ParseForeignJson(aLeft) == ParseForeignJson(aRight);
}

/// Returns aEntry as FormatEntry formats it, with defaults filled in.
static auto CanonicalEntry(const EntryChange& aChange,
                           const std::string& aEntry, std::error_code& aError,
                           std::string& aDetail) -> std::string
{
  if (EqualJson(aEntry, "null")) {
    return "null";
  }
  PlanLists scratch;
  ParseEntry(aChange.path, aEntry, scratch, aError, aDetail);
  return aError ? "" : FormatEntry(scratch, aChange.path);
}

/// Removes references to missing plans from the services and stamps the changed
/// services with aStamp, so that the lists with the edit are valid.
static auto RemoveDanglingReferences(PlanLists& aLists, const Stamp& aStamp)
  -> void
{
  const auto resolved = WithoutDanglingReferences(aLists);
  for (const auto& [name, service] : resolved.services) {
    if (service != aLists.services[name]) {
      aLists.services[name] = service;
      aLists.stamps[kServicePrefix + name] = aStamp;
    }
  }
}

static auto Validate(const PlanLists& aLists, std::error_code& aError,
                     std::string& aDetail) -> void
{
  ParseLists(FormatLists(aLists), aError, aDetail);
}

auto ApplyEdit(const PlanLists& aLists, const Edit& aEdit, std::uint64_t aNowMs,
               std::vector<EntryConflict>& aConflicts, std::error_code& aError,
               std::string& aDetail) -> PlanLists
{
  auto next = aLists;
  next.revision = aLists.revision + 1;
  const Stamp stamp{ next.revision, aEdit.id };
  RemoveDanglingReferences(next, stamp);
  const auto effective = WithoutDanglingReferences(aLists);
  EditRecord record{ aEdit.id, next.revision, aNowMs, {} };
  for (const auto& change : aEdit.changes) {
    const auto base = CanonicalEntry(change, change.base, aError, aDetail);
    const auto wanted =
      aError ? "" : CanonicalEntry(change, change.wanted, aError, aDetail);
    if (aError) {
      return aLists;
    }
    const auto current = FormatEntry(effective, change.path);
    if (current == wanted) {
      continue;
    }
    if (current != base) {
      const auto found = aLists.stamps.find(change.path);
      aConflicts.push_back(
        { change.path, base, wanted, current,
          found == aLists.stamps.end() ? "" : found->second.edit });
      continue;
    }
    EraseEntry(next, change.path);
    if (wanted != "null") {
      ParseEntry(change.path, wanted, next, aError, aDetail);
    }
    next.stamps[change.path] = stamp;
    record.entries.push_back(change.path);
  }
  if (!aConflicts.empty()) {
    return aLists;
  }
  next.edits.push_back(std::move(record));
  if (next.edits.size() > kMaxEditRecords) {
    next.edits.erase(next.edits.begin());
  }
  PruneTombstones(next);
  Validate(next, aError, aDetail);
  return aError ? aLists : next;
}

auto ChangesBetween(const PlanLists& aBase, const PlanLists& aWanted)
  -> std::vector<EntryChange>
{
  std::set<std::string> paths;
  for (const auto* side : { &aBase, &aWanted }) {
    for (auto& path : EntryPaths(*side)) {
      paths.insert(std::move(path));
    }
  }
  std::vector<EntryChange> changes;
  for (const auto& path : paths) {
    auto base = FormatEntry(aBase, path);
    auto wanted = FormatEntry(aWanted, path);
    if (base != wanted) {
      changes.push_back({ path, std::move(base), std::move(wanted) });
    }
  }
  return changes;
}

} // namespace bramleylock::lists
