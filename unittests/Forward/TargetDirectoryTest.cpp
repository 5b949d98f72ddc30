// Tests of merging target records that arrive in any order and repeatedly.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace bramleylock;
using namespace bramleylock::forward;

static const Clock::time_point kNow{ std::chrono::hours(1) };

Test(TargetDirectory, OlderRevisionChangesNothing)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto draining = MakeTarget("a", 9);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  cr_assert(targets.Apply(draining, kNow));
  cr_assert(!targets.Apply(MakeTarget("a", 5), kNow));
  cr_assert(targets.Find("a")->record.State() == TargetState::Draining);
}

Test(TargetDirectory, OlderRecordDoesNotRestoreRemovedEntry)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  targets.Apply(MakeTarget("a", 5), kNow);
  cr_assert(targets.Remove("a", 8, Milliseconds(0), kNow));
  cr_assert(!targets.Apply(MakeTarget("a", 5), kNow));
  cr_assert(targets.Candidates("orders", kNow).empty());
  cr_assert(targets.Apply(MakeTarget("a", 9), kNow));
  cr_assert(targets.Candidates("orders", kNow).size() == 1);
}

Test(TargetDirectory, RemovalBeforeOlderRecordIsKept)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  targets.Remove("a", 8, Milliseconds(0), kNow);
  cr_assert(!targets.Apply(MakeTarget("a", 5), kNow));
  cr_assert(targets.Candidates("orders", kNow).empty());
}

Test(TargetDirectory, ExpiredEntryAcceptsFlowsDuringGracePeriod)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  targets.Apply(MakeTarget("a", 5), kNow);
  targets.Remove("a", 8, Milliseconds(2500), kNow);
  cr_assert(targets.Candidates("orders", kNow).size() == 1);
  cr_assert(targets.Candidates("orders", kNow + Milliseconds(2500)).empty());
}

Test(TargetDirectory, DrainingEntryHasNoGracePeriod)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto draining = MakeTarget("a", 5);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  targets.Apply(draining, kNow);
  targets.Remove("a", 8, Milliseconds(2500), kNow);
  cr_assert(targets.Candidates("orders", kNow).empty());
}

Test(TargetDirectory, EarlierRecordOfAnEarlierIncarnationIsIgnored)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  targets.Apply(MakeTarget("a", 9, "orders", 2), kNow);
  cr_assert(!targets.Apply(MakeTarget("a", 8, "orders", 1), kNow));
  auto departed = MakeTarget("a", 12, "orders", 1);
  departed.state = static_cast<std::uint8_t>(TargetState::Departed);
  cr_assert(!targets.Apply(departed, kNow),
            "the revision is that of the removal");
  cr_assert(targets.Find("a")->record.incarnation == 2);
  cr_assert_eq(targets.Candidates("orders", kNow).size(), 1);
}

/// A target whose clock was set back before it started again was ignored, and
/// kept receiving flows after it had begun to drain.
Test(TargetDirectory, IncarnationWithAnEarlierClockReplacesTheOneBefore)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto draining = MakeTarget("a", 15, "orders", 1);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  std::vector<TargetRecord> records{ MakeTarget("a", 9, "orders", 2),
                                     MakeTarget("a", 12, "orders", 1),
                                     draining };
  const auto compare = [](const TargetRecord& aLeft,
                          const TargetRecord& aRight) {
    return aLeft.revision < aRight.revision;
  };
  do {
    TargetDirectory directory(codec);
    for (const auto& record : records) {
      directory.Apply(record, kNow);
    }
    cr_assert(directory.Find("a")->record.incarnation == 1);
    cr_assert(directory.Candidates("orders", kNow).empty());
  } while (std::next_permutation(records.begin(), records.end(), compare));
}

/// The same at a balancer that knows the earlier incarnation, as dead, only
/// from a peer's full state.
Test(TargetDirectory, DeadIncarnationWithALaterClockDoesNotReplaceTheLatest)
{
  PlainCodec codec;
  TargetDirectory peer(codec);
  peer.Apply(MakeTarget("a", 9, "orders", 2), kNow);
  peer.Apply(MakeTarget("a", 12, "orders", 1), kNow);
  TargetDirectory targets(codec);
  for (const auto& record : peer.RecordsAfter({}, kNow)) {
    targets.Apply(record, kNow);
  }
  cr_assert(targets.Find("a")->record.incarnation == 1);
  cr_assert_eq(targets.Candidates("orders", kNow).size(), 1);
}

/// An incarnation whose departure alone is known may be the latest one.
Test(TargetDirectory, DepartedIncarnationReplacesAnEarlierOne)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  targets.Apply(MakeTarget("a", 5, "orders", 1), kNow);
  targets.Remove("a", 20, Milliseconds(0), kNow);
  auto departed = MakeTarget("a", 12, "orders", 2);
  departed.state = static_cast<std::uint8_t>(TargetState::Departed);
  cr_assert(targets.Apply(departed, kNow));
  cr_assert(targets.Find("a")->record.incarnation == 2);
}

Test(TargetDirectory, TagLeadsToItsOwnTarget)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  RouteTable routes;
  routes.Install(MakeRoutes(1), kNow);
  targets.Apply(MakeTarget("a", 5), kNow);
  // The tags of these two ids differ, so this test does not cover a collision
  // of tags. It checks that a tag leads to its own target.
  targets.Apply(MakeTarget("b", 6), kNow);
  cr_assert(targets.Candidates("orders", kNow).size() == 2);
  cr_assert(
    targets.Lookup(ComputeTag("a", 1), kOrdersAddress, routes)->record.id ==
    "a");
}

/// Every order of the events of one id leads to the same state, and after no
/// event does a removed or replaced incarnation accept new flows.
Test(TargetDirectory, EveryOrderOfEventsLeadsToTheSameState)
{
  struct Event
  {
    bool removal;
    std::uint64_t revision;
    std::uint64_t incarnation;
    TargetState state;
  };
  const std::vector<Event> events{
    { false, 2, 1, TargetState::Ready }, { false, 4, 1, TargetState::Draining },
    { true, 6, 1, TargetState::Ready },  { false, 8, 2, TargetState::Ready },
    { true, 10, 2, TargetState::Ready }, { false, 12, 3, TargetState::Ready },
  };
  PlainCodec codec;
  RouteTable routes;
  routes.Install(MakeRoutes(1), kNow);
  std::vector<std::size_t> order{ 0, 1, 2, 3, 4, 5 };
  do {
    TargetDirectory targets(codec);
    std::uint64_t newestRevision = 0;
    for (const auto index : order) {
      const auto& event = events[index];
      newestRevision = std::max(newestRevision, event.revision);
      if (event.removal) {
        targets.Remove("a", event.revision, Milliseconds(0), kNow);
      } else {
        auto record =
          MakeTarget("a", event.revision, "orders", event.incarnation);
        record.state = static_cast<std::uint8_t>(event.state);
        targets.Apply(record, kNow);
      }
      // The newest event received so far determines the state.
      const auto newestEvent = std::find_if(
        events.begin(), events.end(), [newestRevision](const Event& aEvent) {
          return aEvent.revision == newestRevision;
        });
      const auto candidates = targets.Candidates("orders", kNow);
      const bool ready =
        !newestEvent->removal && newestEvent->state == TargetState::Ready;
      cr_assert(candidates.size() == (ready ? 1U : 0U));
      if (ready) {
        cr_assert(candidates[0]->record.incarnation ==
                  newestEvent->incarnation);
      }
    }
    cr_assert(targets.Find("a")->record.incarnation == 3);
  } while (std::next_permutation(order.begin(), order.end()));
}

Test(TargetDirectory, NewTargetAtAnAddressReplacesTheFormerOne)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto moved = MakeTarget("a", 5);
  targets.Apply(moved, kNow);
  moved.port = 81;
  moved.revision = 6;
  targets.Apply(moved, kNow);
  auto newTarget = MakeTarget("b", 7, "proofs", 2);
  newTarget.ip = moved.ip;
  newTarget.port = 80;
  targets.Apply(newTarget, kNow);
  cr_assert(targets.Find("a")->record.State() == TargetState::Ready,
            "the target has moved to another address");
  auto other = MakeTarget("c", 8, "proofs", 2);
  other.ip = moved.ip;
  other.port = 81;
  targets.Apply(other, kNow);
  cr_assert(targets.Find("a")->record.State() == TargetState::Dead);
}

/// A former target at an address was started by a clock that was ahead, and its
/// entry has not expired yet when a balancer reads both.
Test(TargetDirectory, FormerOwnerWithALaterClockDoesNotEndTheTargetAtItsAddress)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  const auto former = MakeTarget("b", 5, "orders", 9000);
  auto present = MakeTarget("a", 8, "orders", 8000);
  present.ip = former.ip;
  targets.Apply(present, kNow);
  targets.Apply(former, kNow);
  cr_assert(targets.Find("a")->record.State() == TargetState::Ready);
}

/// The same with right clocks: the order of the entries decided.
Test(TargetDirectory, FormerOwnerReadAfterThePresentOneGetsNoFlows)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  const auto former = MakeTarget("b", 5, "orders", 7000);
  auto present = MakeTarget("a", 8, "orders", 8000);
  present.ip = former.ip;
  targets.Apply(present, kNow);
  targets.Apply(former, kNow);
  cr_assert_eq(targets.Candidates("orders", kNow).size(), 1);
  cr_assert(targets.Find("a")->record.State() == TargetState::Ready);
}

/// The store may carry out a write of a target after the target has ended.
Test(TargetDirectory, LateWriteOfAFormerOwnerDoesNotEndTheTargetAtItsAddress)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto present = MakeTarget("a", 8, "orders", 8000);
  const auto former = MakeTarget("b", 9, "orders", 7000);
  present.ip = former.ip;
  targets.Apply(present, kNow);
  targets.Apply(former, kNow);
  cr_assert(targets.Find("a")->record.State() == TargetState::Ready);
}

/// The copy from which a store was restored may list a former target under a
/// later generation than that of the present one's last known write.
Test(TargetDirectory, FormerOwnerInARestoredStoreDoesNotReplaceThePresentOne)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  auto present = MakeTarget("a", 8, "orders", 8000);
  present.revision = { 8, 1 };
  auto former = MakeTarget("b", 5, "orders", 7000);
  former.revision = { 5, 2 };
  present.ip = former.ip;
  targets.Apply(present, kNow);
  targets.Apply(former, kNow);
  cr_assert(targets.Find("a")->record.State() == TargetState::Ready);
  cr_assert_eq(targets.Candidates("orders", kNow).size(), 1);
}

/// Targets are added and removed over days; the records of departed ones must
/// not accumulate.
Test(TargetDirectory, DepartedTargetsAreDiscarded)
{
  PlainCodec codec;
  TargetDirectory targets(codec);
  RouteTable routes;
  routes.Install(MakeRoutes(1), kNow);
  auto now = kNow;
  for (int i = 0; i < 500; ++i) {
    const auto id = "t" + std::to_string(i);
    const auto revision =
      std::uint64_t{ 10 } + 2 * static_cast<std::uint64_t>(i);
    targets.Apply(MakeTarget(id, revision), now);
    targets.Remove(id, revision + 1, Milliseconds(0), now);
    now += std::chrono::seconds(1);
    targets.Expire(std::chrono::seconds(61), now);
    cr_assert(targets.Size() <= 62);
  }
  cr_assert(targets.Lookup(ComputeTag("t0", 1), kOrdersAddress, routes) ==
            nullptr);
  cr_assert(targets.Lookup(ComputeTag("t499", 1), kOrdersAddress, routes) !=
            nullptr);
}

Test(TargetDirectory, TagsOfManyTargetsSeldomCollide)
{
  std::set<TargetTag> tags;
  constexpr std::size_t kTargets = 81000;
  for (std::size_t i = 0; i < kTargets; ++i) {
    tags.insert(ComputeTag("i-" + std::to_string(i), 1700000000000 + i));
  }
  // Among n = 81,000 targets, n * n / 2 / 2^32 = 0.76 colliding pairs are
  // expected.
  cr_assert(kTargets - tags.size() <= 5);
  cr_assert(!tags.contains(0));
}

/// Two targets of one service whose tags are equal. A packet names its target
/// by the tag alone, so only the one with the lower id may be given flows.
Test(TargetDirectory, OnlyOneOfTwoTargetsWithTheSameTagIsUsed)
{
  const std::string lower = "b-2995";
  const std::string higher = "b-72568";
  cr_assert_eq(ComputeTag(lower, 1), ComputeTag(higher, 1));
  PlainCodec codec;
  TargetDirectory targets(codec);
  RouteTable routes;
  routes.Install(MakeRoutes(1), kNow);
  for (const auto& id : { higher, lower }) {
    cr_assert(targets.Apply(MakeTarget(id, 5), kNow));
  }
  const auto candidates = targets.Candidates("orders", kNow);
  cr_assert_eq(candidates.size(), 1);
  cr_assert(candidates[0]->record.id == lower);
  cr_assert(targets.Lookup(ComputeTag(higher, 1), kOrdersAddress, routes) ==
            candidates[0]);
  // The other one is used once no flow to the first can be open.
  targets.Remove(lower, 6, Milliseconds(0), kNow);
  cr_assert(targets.Candidates("orders", kNow).empty());
  targets.Expire(std::chrono::seconds(61), kNow + Milliseconds(62000));
  cr_assert_eq(targets.Candidates("orders", kNow).size(), 1);
}
