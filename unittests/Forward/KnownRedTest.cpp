// Tests of first packets that fail on the present code, see KNOWN-RED.txt.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

/// The platform takes a balancer out of its rotation while a first packet waits
/// there, so that it receives no packet that shows the move.
Test(KnownRed, PendingFlowIsNotRefusedAfterItsNextCopyWentElsewhere)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.AdvanceTime(Milliseconds(601));
  test.forwarder.Expire(test.now);
  cr_assert(test.sink.resets.empty());
}

/// A second copy of a first packet arrives at a balancer that does not have the
/// newest routes yet, after another one opened the flow.
Test(KnownRed, CopyOfFirstPacketForUnknownRouteIsNotRefused)
{
  TestForward test;
  auto copy = TestForward::Opening(5);
  copy.acknowledgement = 1;
  copy.flow.service.ip += 100;
  test.Send(copy);
  cr_assert(test.sink.resets.empty());
}

/// A former target at an address was started by a clock that was ahead, and its
/// entry has not expired yet when a balancer reads both.
Test(KnownRed, FormerOwnerWithALaterClockDoesNotEndTheTargetAtItsAddress)
{
  TestForward test;
  const auto former = MakeTarget("b", 5, "orders", 9000);
  auto present = MakeTarget("a", 8, "orders", 8000);
  present.ip = former.ip;
  test.targets.Apply(present, test.now);
  test.targets.Apply(former, test.now);
  cr_assert(test.targets.Find("a")->record.State() == TargetState::Ready);
}

/// The same with right clocks: the order of the entries decides.
Test(KnownRed, FormerOwnerReadAfterThePresentOneGetsNoFlows)
{
  TestForward test;
  const auto former = MakeTarget("b", 5, "orders", 7000);
  auto present = MakeTarget("a", 8, "orders", 8000);
  present.ip = former.ip;
  test.targets.Apply(present, test.now);
  test.targets.Apply(former, test.now);
  cr_assert_eq(test.targets.Candidates("orders", test.now).size(), 1);
}
