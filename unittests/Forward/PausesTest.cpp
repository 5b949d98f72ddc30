// Tests of first packets that outlived a pause of the balancer in its socket,
// in its queue or without an answer.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static constexpr Milliseconds kPause{ 3000 };

/// The client's next copy has opened the flow at another balancer's target.
Test(Pauses, FirstPacketWhoseNextCopyIsOverdueIsNotOpened)
{
  struct Row
  {
    std::uint32_t copy;
    Milliseconds age;
    bool opens;
  };
  constexpr std::array<Row, 6> kRows{ {
    { 0, Milliseconds(200), true },
    { 0, Milliseconds(300), false },
    { 1, Milliseconds(300), true },
    { 1, Milliseconds(500), false },
    { 2, Milliseconds(800), true },
    { 2, kPause, false },
  } };
  for (const auto& row : kRows) {
    TestForward test;
    test.targets.Apply(MakeTarget("a", 5), test.now);
    auto packet = TestForward::Opening(1);
    packet.acknowledgement = row.copy;
    test.Send(packet, row.age);
    cr_assert_eq(test.sink.toTargets.size(), row.opens ? 1 : 0);
    cr_assert_eq(test.metrics.Get(Counter::FlowStale), row.opens ? 0 : 1);
    cr_assert(test.sink.resets.empty());
  }
}

/// Balancers without routes queue first packets.
Test(Pauses, StaleFirstPacketIsNotQueuedForRoutes)
{
  TestForward test(false);
  test.Send(TestForward::Opening(1), kPause);
  cr_assert_eq(test.forwarder.PendingFlowCount(), 0);
}

Test(Pauses, QueuedFirstPacketIsNeitherOpenedNorRefusedAfterAPause)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  cr_assert_eq(test.forwarder.PendingFlowCount(), 1);
  test.AdvanceTime(kPause);
  test.forwarder.OnPause(kPause, test.now);
  test.sink.toTargets.clear();
  test.EndFlow(1);
  cr_assert_eq(test.sink.toTargets.size(), 1, "only the packet that ends it");
  test.forwarder.Expire(test.now);
  cr_assert(test.sink.resets.empty());
}

/// The clock stands still while the machine is suspended.
Test(Pauses, QueuedFirstPacketIsDroppedAfterASuspension)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  test.forwarder.OnPause(kPause, test.now);
  cr_assert_eq(test.forwarder.PendingFlowCount(), 0);
  cr_assert_eq(test.metrics.Get(Counter::FlowLeft), 1);
}

/// A stall in which no next copy became overdue drops nothing.
Test(Pauses, QueuedFirstPacketIsKeptAfterAShortStall)
{
  TestForward test;
  test.FillTargetA();
  auto packet = TestForward::Opening(5);
  packet.acknowledgement = 2;
  test.Send(packet);
  test.AdvanceTime(Milliseconds(300));
  test.forwarder.OnPause(Milliseconds(300), test.now);
  cr_assert_eq(test.forwarder.PendingFlowCount(), 1);
}

/// A second target would hold a flow that its client opened elsewhere
/// meanwhile.
Test(Pauses, UnansweredFirstPacketIsNotResentAfterAPause)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.LearnRoundTrip(Milliseconds(6));
  test.Send(TestForward::Opening(1));
  test.AdvanceTime(kPause);
  test.forwarder.OnPause(kPause, test.now);
  test.forwarder.ResendUnanswered(test.now);
  cr_assert_eq(test.sink.toTargets.size(), 1);
}
