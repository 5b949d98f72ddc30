// The rules by which member records replace each other.

#include "bramleylock/Peer/MemberTable.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

const auto kNow = Clock::time_point(std::chrono::hours(1));

auto Record(const std::string& aAddress, std::uint64_t aIncarnation,
            std::uint64_t aRefutation, MemberState aState)
{
  return wire::MemberRecord{ "vm-" + aAddress,
                             "north",
                             aAddress,
                             aIncarnation,
                             aRefutation,
                             static_cast<std::uint8_t>(aState),
                             false };
}

struct Fixture
{
  Metrics metrics;
  MemberTable table{ { "self", "north", "self:1", 5 }, metrics };

  auto StateOf(const std::string& aAddress)
  {
    return table.Find(aAddress)->state;
  }
};

} // namespace

Test(MemberTable, SuspicionIsRefutedByAHigherNumber)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.Apply(Record("a:1", 7, 0, MemberState::Alive), kNow);
  table.Suspect("a:1", kNow);
  cr_assert(fixture.StateOf("a:1") == MemberState::Suspect);
  cr_assert(!table.Apply(Record("a:1", 7, 0, MemberState::Alive), kNow));
  cr_assert(table.Apply(Record("a:1", 7, 1, MemberState::Alive), kNow));
  table.Expire(kNow + std::chrono::seconds(5));
  cr_assert(fixture.StateOf("a:1") == MemberState::Alive);
}

Test(MemberTable, SuspectThatDoesNotRefuteIsDeclaredDead)
{
  Fixture fixture;
  fixture.table.Apply(Record("a:1", 7, 0, MemberState::Alive), kNow);
  fixture.table.Suspect("a:1", kNow);
  fixture.table.Expire(kNow + std::chrono::seconds(5));
  cr_assert(fixture.StateOf("a:1") == MemberState::Dead);
}

Test(MemberTable, DelayedUpdateDoesNotReviveADeadMember)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.Apply(Record("a:1", 7, 2, MemberState::Dead), kNow);
  cr_assert(!table.Apply(Record("a:1", 7, 1, MemberState::Alive), kNow));
  cr_assert(!table.Apply(Record("a:1", 6, 9, MemberState::Alive), kNow));
  cr_assert(fixture.StateOf("a:1") == MemberState::Dead);
}

Test(MemberTable, MessageOfAnOlderIncarnationIsIgnored)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.Apply(Record("a:1", 7, 3, MemberState::Alive), kNow);
  table.Apply(Record("a:1", 8, 0, MemberState::Alive), kNow);
  cr_assert(table.Find("a:1")->incarnation == 8);
  wire::Gossip gossip;
  gossip.refutation = 9;
  cr_assert(!table.ApplyMessage({ "vm-a:1", "north", "a:1", 7 }, gossip, kNow));
  cr_assert(table.Find("a:1")->incarnation == 8);
}

Test(MemberTable, MessageOfADeadMemberIsIgnoredUntilItRefutes)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.Apply(Record("a:1", 7, 0, MemberState::Dead), kNow);
  wire::Gossip gossip;
  cr_assert(!table.ApplyMessage({ "vm-a:1", "north", "a:1", 7 }, gossip, kNow));
  gossip.refutation = 1;
  cr_assert(table.ApplyMessage({ "vm-a:1", "north", "a:1", 7 }, gossip, kNow));
}

Test(MemberTable, SelfRefutesWithoutChangingItsIncarnation)
{
  Fixture fixture;
  auto& table = fixture.table;
  cr_assert(table.Apply(Record("self:1", 5, 4, MemberState::Dead), kNow));
  cr_assert(table.SelfRecord().refutation == 5);
  cr_assert(table.SelfRecord().incarnation == 5);
  cr_assert(!table.Apply(Record("self:1", 4, 9, MemberState::Dead), kNow));
}

Test(MemberTable, LeavingIsNotRefuted)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.SetSelfState(MemberState::Left, true);
  const auto left = table.SelfRecord();
  cr_assert(!table.Apply(left, kNow));
  table.SetSelfState(MemberState::Alive, false);
  cr_assert(table.SelfRecord().state ==
            static_cast<std::uint8_t>(MemberState::Left));
}

Test(MemberTable, UpdateIsSentABoundedNumberOfTimes)
{
  Fixture fixture;
  auto& table = fixture.table;
  for (int i = 0; i < 40; ++i) {
    table.Apply(Record("a:" + std::to_string(i), 7, 0, MemberState::Alive),
                kNow);
  }
  std::size_t messages = 0;
  for (;; ++messages) {
    const auto updates = table.TakeUpdates();
    cr_assert(updates.size() <= MemberTable::kMaxUpdatesPerMessage);
    cr_assert(messages < 200);
    if (updates.empty()) {
      break;
    }
  }
  cr_assert(messages > 40 / MemberTable::kMaxUpdatesPerMessage);
}

Test(MemberTable, ChangesOfAFlappingMemberAreDamped)
{
  Fixture fixture;
  auto& table = fixture.table;
  std::size_t sentUpdates = 0;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    while (!table.TakeUpdates().empty()) {
    }
    table.Apply(Record("a:1", 7, i, MemberState::Alive), kNow);
    sentUpdates += table.TakeUpdates().size();
  }
  cr_assert(sentUpdates <= 6, "sent %zu times", sentUpdates);
  cr_assert(fixture.metrics.Get(Counter::MemberDamped) > 90);
  cr_assert(table.Find("a:1")->refutation == 100);
}

Test(MemberTable, CandidateNeverChangesAKnownMember)
{
  Fixture fixture;
  auto& table = fixture.table;
  table.Apply(Record("a:1", 7, 0, MemberState::Dead), kNow);
  table.AddCandidate("other", "south", "a:1");
  cr_assert(fixture.StateOf("a:1") == MemberState::Dead);
  cr_assert(table.Find("a:1")->failureDomain == "north");
}

Test(MemberTable, RecordWithAnUnknownStateIsRefused)
{
  Fixture fixture;
  auto record = Record("a:1", 7, 0, MemberState::Alive);
  record.state = 200;
  cr_assert(!fixture.table.Apply(record, kNow));
  cr_assert(fixture.table.Find("a:1") == nullptr);
}
