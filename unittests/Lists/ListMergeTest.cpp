// Merge rules: merging is order-independent, and stamps never decrease.

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Lists/ListKeeper.h"
#include "bramleylock/Support/Random.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;
using namespace bramleylock::lists;

static auto PlanWith(double aWeight) -> std::string
{
  PlanLists lists;
  lists.plans["x"] = { std::string(64, 'a'), aWeight, 0, 0, {} };
  return FormatEntry(lists, "plans/x");
}

static auto Start() -> PlanLists
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

static auto Change(const PlanLists& aLists, const std::string& aId,
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

Test(ListMerge, FormattedListsParseToThemselves)
{
  const auto lists = Change(Start(), "a", "plans/clubs", PlanWith(2));
  std::error_code error;
  std::string detail;
  cr_assert(ParseLists(FormatLists(lists), error, detail) == lists);
}

Test(ListMerge, EditsOfOtherEntriesAreBothKept)
{
  const auto left = Change(Start(), "a", "plans/clubs", PlanWith(2));
  const auto right = Change(Start(), "b", "plans/members", PlanWith(3));
  const auto merged = Merge(left, right);
  cr_assert(merged == Merge(right, left));
  cr_assert_eq(merged.plans.at("clubs").weight, 2);
  cr_assert_eq(merged.plans.at("members").weight, 3);
}

Test(ListMerge, SameEntryEditedApartIsReportedAndAlike)
{
  const auto left = Change(Start(), "a", "plans/clubs", PlanWith(2));
  const auto right = Change(Start(), "b", "plans/clubs", PlanWith(3));
  MergeNotes notes;
  const auto merged = Merge(left, right, &notes);
  cr_assert(merged == Merge(right, left));
  cr_assert_eq(merged.plans.at("clubs").weight, 3);
  cr_assert_eq(notes.superseded.size(), 1);
}

Test(ListMerge, LaterEditOfTheSameEntryIsNoConflict)
{
  const auto first = Change(Start(), "b", "plans/clubs", PlanWith(2));
  const auto second = Change(first, "a", "plans/clubs", PlanWith(3));
  MergeNotes notes;
  cr_assert(Merge(first, second, &notes) == second);
  cr_assert(notes.superseded.empty());
}

Test(ListMerge, PartOfNewerListsSupersedesNothing)
{
  const auto first = Change(Start(), "a", "plans/clubs", PlanWith(2));
  const auto second = Change(first, "b", "plans/clubs", PlanWith(3));
  MergeNotes notes;
  Merge(first, ChangesSince(second, first.revision), &notes);
  cr_assert(notes.superseded.empty());
}

Test(ListMerge, RemovedEntryDoesNotComeBack)
{
  const auto old = Start();
  const auto removed = Change(old, "a", "plans/members", "null");
  cr_assert(Merge(removed, old) == removed);
}

Test(ListMerge, ReferenceToAPlanRemovedApartIsLeftOut)
{
  auto left = Change(Start(), "a", "services/orders", R"({"plans": []})");
  left = Change(left, "b", "plans/clubs", "null");
  const auto right = Change(Start(), "c", "services/orders",
                            R"({"plans": ["clubs", "members"], "slots": 9})");
  // Each side is valid. The right side has the later stamp of the service,
  // which refers to the plan that the left side has removed.
  const auto merged = Merge(
    left, Change(right, "d", "services/orders", R"({"plans": ["clubs"]})"));
  cr_assert(!merged.plans.contains("clubs"));
  cr_assert(WithoutDangling(merged).services.at("orders").plans.empty());
}

Test(ListMerge, ChangesSinceTheBaseMakeTheWhole)
{
  const auto base = Change(Start(), "a", "plans/clubs", PlanWith(2));
  const auto next = Change(base, "b", "plans/members", "null");
  const auto changes = ChangesSince(next, base.revision);
  cr_assert_eq(changes.stamps.size(), 1);
  cr_assert(Merge(base, changes) == next);
}

Test(ListMerge, ForgottenRemovalsStayRemoved)
{
  auto lists = Start();
  const auto old = Change(lists, "old", "plans/extra", PlanWith(1));
  lists = Change(old, "gone", "plans/extra", "null");
  for (std::size_t i = 0; i <= kRemovedKept; ++i) {
    const auto name = "plans/p" + std::to_string(i);
    lists = Change(lists, name, name, PlanWith(1));
    lists = Change(lists, "-" + name, name, "null");
  }
  cr_assert(!lists.stamps.contains("plans/extra"));
  cr_assert(!Merge(lists, old).plans.contains("extra"));
}

Test(ListMerge, EditOfAnEntryChangedMeanwhileIsRefusedWithTheOther)
{
  const auto read = Start();
  const auto now = Change(read, "other", "plans/clubs", PlanWith(2));
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  const Edit edit{
    "mine", { { "plans/clubs", FormatEntry(read, "plans/clubs"), PlanWith(3) } }
  };
  cr_assert(ApplyEdit(now, edit, 7, conflicts, error, detail) == now);
  cr_assert_eq(conflicts.size(), 1);
  cr_assert_str_eq(conflicts[0].otherEdit.c_str(), "other");
}

Test(ListMerge, EditThatBreaksAReferenceIsRefused)
{
  const auto lists = Start();
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  const Edit edit{
    "e", { { "plans/clubs", FormatEntry(lists, "plans/clubs"), "null" } }
  };
  ApplyEdit(lists, edit, 7, conflicts, error, detail);
  cr_assert(error == ListsError::Reference);
}

Test(ListMerge, EditBeyondTheSizeLimitIsRefused)
{
  const auto lists = Start();
  Edit edit{ "e", {} };
  for (int i = 0; i < 9000; ++i) {
    edit.changes.push_back(
      { "plans/p" + std::to_string(i), "null", PlanWith(1) });
  }
  std::vector<EntryConflict> conflicts;
  std::error_code error;
  std::string detail;
  ApplyEdit(lists, edit, 7, conflicts, error, detail);
  cr_assert(error == ListsError::TooLarge);
}

/// Applies aEdits random edits to a few plans: changes, removals, and additions
/// of removed plans.
static auto EditAtRandom(PlanLists aLists, Random& aRandom, int aEdits,
                         const std::string& aEditor) -> PlanLists
{
  static const std::vector<std::string> kPaths{ "plans/a", "plans/b", "plans/c",
                                                "plans/clubs" };
  for (int i = 0; i < aEdits; ++i) {
    const auto& path = kPaths[aRandom() % kPaths.size()];
    const auto weight = static_cast<double>(1 + aRandom() % 3);
    const bool removes = aRandom() % 3 == 0;
    aLists = Change(aLists, aEditor + std::to_string(i), path,
                    removes ? "null" : PlanWith(weight));
  }
  return aLists;
}

static auto StartWithoutServices() -> PlanLists
{
  auto lists = Start();
  lists.services.clear();
  lists.stamps.erase("services/orders");
  return lists;
}

Test(ListMerge, MergingAPartInPlaceGivesWhatMergingGives)
{
  Random random(1);
  for (int run = 0; run < 300; ++run) {
    const auto base = EditAtRandom(StartWithoutServices(), random, 3, "x");
    const auto left = EditAtRandom(base, random, int(random() % 4), "l");
    const auto right = EditAtRandom(base, random, int(random() % 4), "r");
    const auto part = run % 2 == 0 ? right : ChangesSince(right, base.revision);
    MergeNotes wholeNotes;
    const auto expected = Merge(left, part, &wholeNotes);
    auto merged = left;
    ListDocument document(left);
    MergeNotes notes;
    const auto changes = MergePart(merged, part, notes);
    cr_assert(merged == expected, "run %d", run);
    cr_assert(changes.any == (expected != left), "run %d", run);
    cr_assert(notes.superseded == wholeNotes.superseded, "run %d", run);
    document.Update(merged, changes.paths);
    cr_assert(document.Text(merged) == FormatLists(merged), "run %d", run);
  }
}

Test(ListMerge, ForgottenRemovalsAreMergedInPlaceAlike)
{
  auto lists = Start();
  for (std::size_t i = 0; i < kRemovedKept; ++i) {
    lists.stamps["plans/gone-" + std::to_string(i)] = { 2 + i, "x" };
  }
  lists.revision = kRemovedKept + 2;
  const auto next = Change(lists, "y", "plans/members", "null");
  const auto part = ChangesSince(next, lists.revision);
  auto merged = lists;
  MergeNotes notes;
  const auto changes = MergePart(merged, part, notes);
  cr_assert(merged == next);
  cr_assert_eq(merged.forgottenRevision, 2);
  ListDocument document(lists);
  document.Update(merged, changes.paths);
  cr_assert(document.Text(merged) == FormatLists(next));
}

Test(ListDocument, MembersStandInTheOrderOfTheirNames)
{
  const auto lists = Change(Start(), "a", "plans/clubs", PlanWith(2));
  const auto text = FormatLists(lists);
  cr_assert(text == nlohmann::json::parse(text).dump());
}

Test(ListKeeper, ReadersKeepTheListsThatTheyHold)
{
  Metrics metrics;
  ListKeeper keeper(metrics);
  keeper.Install(FormatLists(Start()));
  const auto held = keeper.Current();
  const auto next = Change(Start(), "a", "plans/clubs", PlanWith(2));
  keeper.Install(FormatLists(ChangesSince(next, 1)));
  cr_assert_eq(held->plans.at("clubs").weight, 1);
  cr_assert_eq(keeper.Current()->plans.at("clubs").weight, 2);
  cr_assert(keeper.Document() == FormatLists(next));
}

Test(ListKeeper, AReferenceIsLeftOutUntilItsPlanIsBack)
{
  Metrics metrics;
  ListKeeper keeper(metrics);
  keeper.Install(FormatLists(Start()));
  PlanLists removal;
  removal.revision = 2;
  removal.stamps["plans/clubs"] = { 2, "a" };
  keeper.Install(FormatLists(removal));
  cr_assert(keeper.Current()->services.at("orders").plans.empty());
  cr_assert_eq(keeper.Merged()->services.at("orders").plans.size(), 1);
  PlanLists back;
  back.revision = 3;
  back.plans["clubs"] = Start().plans.at("clubs");
  back.stamps["plans/clubs"] = { 3, "b" };
  keeper.Install(FormatLists(back));
  cr_assert_eq(keeper.Current()->services.at("orders").plans.size(), 1);
}

Test(ListKeeper, OlderListsChangeNothingAndAreCounted)
{
  Metrics metrics;
  ListKeeper keeper(metrics);
  const auto old = Start();
  const auto next = Change(old, "a", "plans/clubs", PlanWith(2));
  cr_assert(keeper.Install(FormatLists(next)) == InstallOutcome::Installed);
  cr_assert(keeper.Install(FormatLists(old)) == InstallOutcome::Unchanged);
  cr_assert_eq(keeper.Current()->plans.at("clubs").weight, 2);
  cr_assert_eq(metrics.Get(Counter::ListsLowerRevision), 1);
}
