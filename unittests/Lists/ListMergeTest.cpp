// Merge rules: merging is order-independent, and stamps never decrease.

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Support/Random.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;
using namespace bramleylock::lists;

static auto PlanJsonWithWeight(double aWeight) -> std::string
{
  PlanLists lists;
  lists.plans["x"] = { std::string(64, 'a'), aWeight, 0, 0, {} };
  return FormatEntry(lists, "plans/x");
}

static auto InitialLists() -> PlanLists
{
  PlanLists lists;
  for (const auto* name : { "clubs", "members" }) {
    lists.plans[name] = { std::string(64, 'a'), 1, 0, 0, {} };
  }
  lists.services["orders"].plans = { "clubs" };
  std::error_code error;
  std::string detail;
  return ParseLists(FormatLists(lists), error, detail);
}

static auto ApplyChange(const PlanLists& aLists, const std::string& aId,
                        const std::string& aPath, const std::string& aWanted)
  -> PlanLists
{
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  auto next = ApplyEdit(
    aLists, { aId, { { aPath, FormatEntry(aLists, aPath), aWanted } } }, 7,
    conflicts, error, detail);
  cr_assert(!error && conflicts.empty(), "%s", detail.c_str());
  return next;
}

Test(ListMerge, FormattedListsRoundTrip)
{
  const auto lists =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  std::error_code error;
  std::string detail;
  cr_assert(ParseLists(FormatLists(lists), error, detail) == lists);
}

Test(ListMerge, EditsOfDifferentEntriesAreBothKept)
{
  const auto left =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  const auto right =
    ApplyChange(InitialLists(), "b", "plans/members", PlanJsonWithWeight(3));
  const auto merged = Merge(left, right);
  cr_assert(merged == Merge(right, left));
  cr_assert_eq(merged.plans.at("clubs").weight, 2);
  cr_assert_eq(merged.plans.at("members").weight, 3);
}

Test(ListMerge, ConcurrentEditsOfOneEntryConvergeAndAreReported)
{
  const auto left =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  const auto right =
    ApplyChange(InitialLists(), "b", "plans/clubs", PlanJsonWithWeight(3));
  MergeReport report;
  const auto merged = Merge(left, right, &report);
  cr_assert(merged == Merge(right, left));
  cr_assert_eq(merged.plans.at("clubs").weight, 3);
  cr_assert_eq(report.supersededPaths.size(), 1);
}

Test(ListMerge, SequentialEditsOfOneEntryAreNotReported)
{
  const auto first =
    ApplyChange(InitialLists(), "b", "plans/clubs", PlanJsonWithWeight(2));
  const auto second =
    ApplyChange(first, "a", "plans/clubs", PlanJsonWithWeight(3));
  MergeReport report;
  cr_assert(Merge(first, second, &report) == second);
  cr_assert(report.supersededPaths.empty());
}

Test(ListMerge, ChangesOfNewerListsSupersedeNothing)
{
  const auto first =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  const auto second =
    ApplyChange(first, "b", "plans/clubs", PlanJsonWithWeight(3));
  MergeReport report;
  Merge(first, ChangesSince(second, first.revision), &report);
  cr_assert(report.supersededPaths.empty());
}

Test(ListMerge, MergeDoesNotRestoreRemovedEntry)
{
  const auto old = InitialLists();
  const auto removed = ApplyChange(old, "a", "plans/members", "null");
  cr_assert(Merge(removed, old) == removed);
}

Test(ListMerge, ReferenceToAConcurrentlyRemovedPlanIsDropped)
{
  auto left =
    ApplyChange(InitialLists(), "a", "services/orders", R"({"plans": []})");
  left = ApplyChange(left, "b", "plans/clubs", "null");
  const auto right =
    ApplyChange(InitialLists(), "c", "services/orders",
                R"({"plans": ["clubs", "members"], "slots": 9})");
  // Each side is valid. The right side has the later stamp of the service,
  // which refers to the plan that the left side has removed.
  const auto merged = Merge(left, ApplyChange(right, "d", "services/orders",
                                              R"({"plans": ["clubs"]})"));
  cr_assert(!merged.plans.contains("clubs"));
  cr_assert(
    WithoutDanglingReferences(merged).services.at("orders").plans.empty());
}

Test(ListMerge, ChangesMergedIntoTheBaseGiveTheNewLists)
{
  const auto base =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  const auto next = ApplyChange(base, "b", "plans/members", "null");
  const auto changes = ChangesSince(next, base.revision);
  cr_assert_eq(changes.stamps.size(), 1);
  cr_assert(Merge(base, changes) == next);
}

Test(ListMerge, EntriesWithPrunedTombstonesStayRemoved)
{
  auto lists = InitialLists();
  const auto old =
    ApplyChange(lists, "old", "plans/extra", PlanJsonWithWeight(1));
  lists = ApplyChange(old, "gone", "plans/extra", "null");
  for (std::size_t i = 0; i <= kMaxTombstones; ++i) {
    const auto name = "plans/p" + std::to_string(i);
    lists = ApplyChange(lists, name, name, PlanJsonWithWeight(1));
    lists = ApplyChange(lists, "-" + name, name, "null");
  }
  cr_assert(!lists.stamps.contains("plans/extra"));
  cr_assert(!Merge(lists, old).plans.contains("extra"));
}

Test(ListMerge, EditOfAChangedEntryIsRejectedWithTheOtherEdit)
{
  const auto read = InitialLists();
  const auto now =
    ApplyChange(read, "other", "plans/clubs", PlanJsonWithWeight(2));
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  const Edit edit{ "mine",
                   { { "plans/clubs", FormatEntry(read, "plans/clubs"),
                       PlanJsonWithWeight(3) } } };
  cr_assert(ApplyEdit(now, edit, 7, conflicts, error, detail) == now);
  cr_assert_eq(conflicts.size(), 1);
  cr_assert_str_eq(conflicts[0].otherEdit.c_str(), "other");
}

Test(ListMerge, EditThatBreaksAReferenceIsRejected)
{
  const auto lists = InitialLists();
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  const Edit edit{
    "e", { { "plans/clubs", FormatEntry(lists, "plans/clubs"), "null" } }
  };
  ApplyEdit(lists, edit, 7, conflicts, error, detail);
  cr_assert(error == ListsError::Reference);
}

Test(ListMerge, EditBeyondTheSizeLimitIsRejected)
{
  const auto lists = InitialLists();
  Edit edit{ "e", {} };
  for (int i = 0; i < 9000; ++i) {
    edit.changes.push_back(
      { "plans/p" + std::to_string(i), "null", PlanJsonWithWeight(1) });
  }
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  ApplyEdit(lists, edit, 7, conflicts, error, detail);
  cr_assert(error == ListsError::TooLarge);
}

/// Applies aEdits random edits to a few plans: changes, removals, and additions
/// of removed plans.
static auto ApplyRandomEdits(PlanLists aLists, Random& aRandom, int aEdits,
                             const std::string& aEditor) -> PlanLists
{
  static const std::vector<std::string> kPaths{ "plans/a", "plans/b", "plans/c",
                                                "plans/clubs" };
  for (int i = 0; i < aEdits; ++i) {
    const auto& path = kPaths[aRandom() % kPaths.size()];
    const auto weight = static_cast<double>(1 + aRandom() % 3);
    const bool removes = aRandom() % 3 == 0;
    aLists = ApplyChange(aLists, aEditor + std::to_string(i), path,
                         removes ? "null" : PlanJsonWithWeight(weight));
  }
  return aLists;
}

static auto InitialListsWithoutServices() -> PlanLists
{
  auto lists = InitialLists();
  lists.services.clear();
  lists.stamps.erase("services/orders");
  return lists;
}

Test(ListMerge, MergeInPlaceEqualsMerge)
{
  Random random(1);
  for (int run = 0; run < 300; ++run) {
    const auto base =
      ApplyRandomEdits(InitialListsWithoutServices(), random, 3, "x");
    const auto left = ApplyRandomEdits(base, random, int(random() % 4), "l");
    const auto right = ApplyRandomEdits(base, random, int(random() % 4), "r");
    const auto part = run % 2 == 0 ? right : ChangesSince(right, base.revision);
    MergeReport expectedReport;
    const auto expected = Merge(left, part, &expectedReport);
    auto merged = left;
    ListDocument document(left);
    MergeReport report;
    const auto changes = MergeInPlace(merged, part, report);
    cr_assert(merged == expected, "run %d", run);
    cr_assert(changes.changed == (expected != left), "run %d", run);
    cr_assert(report.supersededPaths == expectedReport.supersededPaths,
              "run %d", run);
    document.Update(merged, changes.paths);
    cr_assert(document.Text(merged) == FormatLists(merged), "run %d", run);
  }
}

Test(ListMerge, MergeInPlacePrunesTombstones)
{
  auto lists = InitialLists();
  for (std::size_t i = 0; i < kMaxTombstones; ++i) {
    lists.stamps["plans/gone-" + std::to_string(i)] = { 2 + i, "x" };
  }
  lists.revision = kMaxTombstones + 2;
  const auto next = ApplyChange(lists, "y", "plans/members", "null");
  const auto part = ChangesSince(next, lists.revision);
  auto merged = lists;
  MergeReport report;
  const auto changes = MergeInPlace(merged, part, report);
  cr_assert(merged == next);
  cr_assert_eq(merged.forgottenRevision, 2);
  ListDocument document(lists);
  document.Update(merged, changes.paths);
  cr_assert(document.Text(merged) == FormatLists(next));
}

Test(ListDocument, MembersAreSortedByName)
{
  const auto lists =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  const auto text = FormatLists(lists);
  cr_assert(text == nlohmann::json::parse(text).dump());
}

Test(ListReplica, InstallDoesNotChangeListsHeldByReaders)
{
  Metrics metrics;
  ListReplica replica(metrics);
  replica.Install(FormatLists(InitialLists()));
  const auto held = replica.Current();
  const auto next =
    ApplyChange(InitialLists(), "a", "plans/clubs", PlanJsonWithWeight(2));
  replica.Install(FormatLists(ChangesSince(next, 1)));
  cr_assert_eq(held->plans.at("clubs").weight, 1);
  cr_assert_eq(replica.Current()->plans.at("clubs").weight, 2);
  cr_assert(replica.Document() == FormatLists(next));
}

Test(ListReplica, DanglingReferenceReturnsWithItsPlan)
{
  Metrics metrics;
  ListReplica replica(metrics);
  replica.Install(FormatLists(InitialLists()));
  PlanLists removal;
  removal.revision = 2;
  removal.stamps["plans/clubs"] = { 2, "a" };
  replica.Install(FormatLists(removal));
  cr_assert(replica.Current()->services.at("orders").plans.empty());
  cr_assert_eq(replica.Merged()->services.at("orders").plans.size(), 1);
  PlanLists back;
  back.revision = 3;
  back.plans["clubs"] = InitialLists().plans.at("clubs");
  back.stamps["plans/clubs"] = { 3, "b" };
  replica.Install(FormatLists(back));
  cr_assert_eq(replica.Current()->services.at("orders").plans.size(), 1);
}

Test(ListReplica, OlderListsChangeNothingAndAreCounted)
{
  Metrics metrics;
  ListReplica replica(metrics);
  const auto old = InitialLists();
  const auto next = ApplyChange(old, "a", "plans/clubs", PlanJsonWithWeight(2));
  cr_assert(replica.Install(FormatLists(next)) == InstallOutcome::Installed);
  cr_assert(replica.Install(FormatLists(old)) == InstallOutcome::Unchanged);
  cr_assert_eq(replica.Current()->plans.at("clubs").weight, 2);
  cr_assert_eq(metrics.Get(Counter::ListsLowerRevision), 1);
}
