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
