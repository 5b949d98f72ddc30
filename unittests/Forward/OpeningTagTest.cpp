// Tests of flows whose clients repeat the tag of a first packet.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

/// Returns a packet with data, aDistance behind aOpening, from a client that
/// received aTag last.
static auto MakeRequest(const Packet& aOpening, TargetTag aTag,
                        std::uint32_t aDistance) -> Packet
{
  auto request = TestForward::Following(aOpening, aTag);
  request.sequence = aOpening.sequence + aDistance;
  request.carriesData = true;
  return request;
}

/// A balancer that did not see the handshake gets the client's first packet
/// after it, with the tag of the first packet.
Test(OpeningTag, AnotherBalancerForwardsTheFirstPacketAfterTheHandshake)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  const auto opening = TestForward::Opening(1);
  const auto request =
    MakeRequest(opening, OpeningTag(ComputeTag("b", 1), opening.sequence), 1);
  test.Send(request);
  cr_assert_eq(test.sink.toTargets.size(), 1);
  cr_assert(test.sink.toTargets[0].target == "b");
  cr_assert_eq(test.sink.toTargets[0].packet.tag, ComputeTag("b", 1));
}

/// A late answer of a target that also got the first packet changes the tag at
/// the client. A balancer to which the flow then moves sent the next request to
/// that target, which reset the flow.
Test(OpeningTag, LateAnswerOfAnotherTargetDoesNotMoveAFlowAtAnotherBalancer)
{
  TestForward first;
  first.targets.Apply(MakeTarget("a", 5), first.now);
  const auto opening = TestForward::Opening(1);
  first.Send(opening);
  auto request = MakeRequest(opening, first.sink.toTargets[0].packet.tag, 300);
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.Send(request);
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.empty());
  cr_assert_eq(test.metrics.Get(Counter::PacketTagUnknown), 1);
  // A packet of the flow's own target brings that target's tag.
  request.tag = ComputeTag("b", 1);
  test.Send(request);
  cr_assert(test.sink.toTargets.back().target == "b");
}

/// The same at the balancer to which the flow returns, which had sent an
/// earlier copy of the first packet to that target.
Test(OpeningTag, LateAnswerDoesNotMoveAFlowThatOpenedAtAnotherBalancer)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  const auto request =
    MakeRequest(opening, test.sink.toTargets[0].packet.tag, 300);
  test.sink.toTargets.clear();
  test.AdvanceTime(kFirstPacketLifetime);
  test.Send(request);
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.empty());
}

/// The second packet of a request may arrive before the first.
Test(OpeningTag, PacketsOfTheFirstRequestMayOvertakeEachOther)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  const auto request =
    MakeRequest(opening, test.sink.toTargets[0].packet.tag, 1201);
  test.Send(request);
  cr_assert_eq(test.sink.toTargets.size(), 2);
  cr_assert_eq(test.sink.toTargets[1].packet.tag, ComputeTag("a", 1));
}
