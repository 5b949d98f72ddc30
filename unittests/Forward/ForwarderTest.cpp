// Tests of how the forwarder handles packets from clients.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

Test(Forwarder, FirstPacketIsAssignedTargetAndTag)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.toTargets[0].target == "a");
  const auto& sent = test.sink.toTargets[0].packet;
  cr_assert_eq(sent.tag, OpeningTag(ComputeTag("a", 1), sent.sequence));
}

Test(Forwarder, AnotherBalancerForwardsByTheTagAlone)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  // This balancer did not receive the flow's first packet.
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("b", 1)));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.toTargets[0].target == "b");
}

Test(Forwarder, TagOfAnotherServiceIsDropped)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("p", 6, "proofs"), test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("p", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.empty());
  cr_assert(test.metrics.Get(Counter::PacketTagUnknown) == 1);
}

Test(Forwarder, TagInAFirstPacketIsIgnored)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("p", 6, "proofs"), test.now);
  auto opening = TestForward::Opening(1);
  opening.tag = ComputeTag("p", 1);
  test.Send(opening);
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.toTargets[0].target == "a");
}

Test(Forwarder, UnknownTagIsDroppedWithoutAReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Following(TestForward::Opening(1), 12345));
  cr_assert(test.sink.toTargets.empty() && test.sink.resets.empty());
}

Test(Forwarder, MalformedDatagramIsDropped)
{
  TestForward test;
  std::string data = "short";
  test.forwarder.OnDatagram(data.data(), data.size(), {}, test.now);
  cr_assert(test.metrics.Get(Counter::PacketMalformed) == 1);
  cr_assert(test.sink.toTargets.empty() && test.sink.resets.empty());
}

Test(Forwarder, DrainingTargetKeepsItsFlowsAndAcceptsNoNewOnes)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto draining = MakeTarget("a", 7);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  test.targets.Apply(draining, test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  for (std::uint16_t port = 1; port <= 3; ++port) {
    test.Send(TestForward::Opening(port));
  }
  for (const auto& sent : test.sink.toTargets) {
    cr_assert(sent.target == "b");
  }
  test.Send(
    TestForward::Following(TestForward::Opening(9), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.back().target == "a");
}

Test(Forwarder, DepartedTargetKeepsItsFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Remove("a", 9, Milliseconds(0), test.now);
  test.AdvanceTime(Milliseconds(30000));
  test.forwarder.Expire(test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.size() == 1);
  test.Send(TestForward::Opening(2));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.resets.size() == 1);
}

Test(Forwarder, DepartedTargetIsDiscardedAfterMaxFlowLifetime)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  test.targets.Remove("a", 9, Milliseconds(0), test.now);
  test.AdvanceTime(Milliseconds(62000));
  test.forwarder.Expire(test.now);
  cr_assert(test.targets.Size() == 0);
  cr_assert(test.forwarder.Flows().Size() == 0);
}

/// A target that started again resets the flows that it does not hold; the ones
/// that it opened before its record arrived here must reach it.
Test(Forwarder, FlowOpenedBeforeTheLaterIncarnationWasKnownIsNotReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  test.targets.Apply(MakeTarget("a", 8, "orders", 2), test.now);
  // Tracked here, and moved here from another balancer.
  for (const std::uint16_t port : { 1, 2 }) {
    test.sink.toTargets.clear();
    test.Send(
      TestForward::Following(TestForward::Opening(port), ComputeTag("a", 1)));
    cr_assert_eq(test.sink.toTargets.size(), 1);
    cr_assert_eq(test.sink.toTargets[0].incarnation, 2);
    cr_assert_eq(test.sink.toTargets[0].packet.tag, ComputeTag("a", 2));
  }
  cr_assert(test.sink.resets.empty());
  cr_assert_eq(test.targets.Find("a")->stats.openFlows, 2);
  test.Send(TestForward::Opening(3));
  cr_assert(test.sink.toTargets.back().incarnation == 2);
}

/// The copy follows the first packet, which the restarted target may have
/// answered; at another target it would open the flow twice.
Test(Forwarder, CopyOfFirstPacketIsNotMovedWhenItsTargetHasRestarted)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 4; ++port) {
    test.Send(TestForward::Opening(port));
  }
  test.targets.Apply(MakeTarget("a", 8, "orders", 2), test.now);
  test.targets.Apply(MakeTarget("b", 9), test.now);
  test.sink.toTargets.clear();
  for (std::uint16_t port = 1; port <= 4; ++port) {
    auto copy = TestForward::Opening(port);
    copy.acknowledgement = 1;
    test.Send(copy);
  }
  cr_assert_eq(test.sink.toTargets.size(), 4);
  for (const auto& sent : test.sink.toTargets) {
    cr_assert_str_eq(sent.target.c_str(), "a");
    cr_assert_eq(sent.incarnation, 2);
  }
}

Test(Forwarder, FlowOfAnEarlierIncarnationAtAnotherAddressIsReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto later = MakeTarget("a", 8, "orders", 2);
  later.port += 1;
  test.targets.Apply(later, test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert_eq(test.sink.resets.size(), 1);
}

/// The later incarnation may belong to another service.
Test(Forwarder, FlowIsNotSentToALaterIncarnationOfAnotherService)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("a", 8, "proofs", 2), test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert_eq(test.sink.resets.size(), 1);
}

Test(Forwarder, ReusedAddressDoesNotReceiveOldFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Remove("a", 9, Milliseconds(0), test.now);
  auto other = MakeTarget("p", 12, "proofs", 2);
  other.ip = MakeTarget("a", 5).ip;
  test.targets.Apply(other, test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.size() == 1, "the former target is dead");
}

Test(Forwarder, UnknownRouteRefusesOnlyNewFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const Address unknownRoute{ 0xc6120009, 443 };
  test.Send(TestForward::Opening(1, unknownRoute));
  cr_assert(test.sink.resets.size() == 1);
  // The route may be part of a version that has not been received here yet.
  test.Send(TestForward::Following(TestForward::Opening(2, unknownRoute),
                                   ComputeTag("a", 1)));
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.sink.toTargets.empty());
}

Test(Forwarder, RemovedRouteResetsItsFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto next = MakeRoutes(2);
  next.routes.erase(next.routes.begin());
  test.routes.Install(next, test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.size() == 1);
}

/// Removed routes would accumulate over days. They are kept only as long as a
/// flow that they allowed can exist.
Test(Forwarder, RemovedRouteIsDiscardedAfterMaxFlowLifetime)
{
  TestForward test;
  test.routes.Install(RouteSet{ 2, 2, 15000, {}, {} }, test.now);
  test.AdvanceTime(Milliseconds(60000));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrdersAddress) == RouteState::Removed);
  test.AdvanceTime(Milliseconds(2000));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrdersAddress) == RouteState::Unknown);
  test.routes.Install(MakeRoutes(3), test.now);
  test.AdvanceTime(std::chrono::minutes(5));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrdersAddress) == RouteState::InForce);
  cr_assert(test.routes.Allows(kOrdersAddress, "orders"));
}

Test(Forwarder, OpenFlowsKeepTheirTargetWhenRouteChangesService)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("p", 6, "proofs"), test.now);
  auto next = MakeRoutes(2);
  next.routes[0].shares = { { "proofs", 1 } };
  test.routes.Install(next, test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.back().target == "a");
  test.Send(TestForward::Opening(2));
  cr_assert(test.sink.toTargets.back().target == "p");
}

Test(Forwarder, FirstPacketsArePendingUntilRoutesAreKnown)
{
  TestForward test(false);
  test.Send(TestForward::Opening(1));
  cr_assert(test.sink.resets.empty() && test.sink.toTargets.empty());
  test.routes.Install(MakeRoutes(1), test.now);
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.sink.toTargets.size() == 1);
}

Test(Forwarder, OverloadedServiceServesNewestFirstAndRefusesExpired)
{
  TestForward test;
  test.FillTargetA();
  cr_assert(test.sink.toTargets.size() == 4);
  test.Send(TestForward::Opening(5));
  test.AdvanceTime(Milliseconds(10));
  test.Send(TestForward::Opening(6));
  cr_assert(test.sink.toTargets.size() == 4);
  cr_assert(test.forwarder.PendingFlowCount() == 2);
  test.EndFlow(1);
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 6);
  test.AdvanceTime(Milliseconds(1300));
  for (std::uint16_t port = 2; port <= 4; ++port) {
    test.Send(TestForward::Following(TestForward::Opening(port),
                                     ComputeTag("a", 1), 600));
  }
  test.forwarder.Expire(test.now);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.sink.resets[0].flow.client.port == 5);
}

Test(Forwarder, PendingFlowOpenedByCopyIsNotOpenedAgain)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  // Capacity becomes available, and the client's next copy arrives before the
  // pending packet is retried.
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.AdvanceTime(Milliseconds(200));
  test.Send(TestForward::Opening(5));
  const auto sent = test.sink.toTargets.size();
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 5);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.sink.toTargets.size() == sent);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

Test(Forwarder, EndedFlowsAreNotCountedForTheirTarget)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  cr_assert(test.targets.Find("a")->stats.inFlight == 1);
  auto end = TestForward::Following(opening, ComputeTag("a", 1));
  end.ends = true;
  test.Send(end);
  test.Send(end);
  cr_assert(test.targets.Find("a")->stats.inFlight == 0);
}

/// The first copies of a flow's first packet are lost and a late copy
/// arrives. The flow is not newer than one whose first copy arrived earlier,
/// and must not be served before it.
Test(Forwarder, LateCopyIsNotServedBeforeEarlierArrival)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  test.AdvanceTime(Milliseconds(10));
  auto late = TestForward::Opening(6);
  late.acknowledgement = 2;
  test.Send(late);
  cr_assert(test.forwarder.PendingFlowCount() == 2);
  test.EndFlow(1);
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 5);
}

/// The first of eight balancers to return after an outage queues as many flows
/// per slot as a slot serves in the maximum wait time: eight requests of 72 ms.
Test(Forwarder, FirstOfEightBalancersQueuesForAll)
{
  TestForward test;
  test.forwarder.SetBalancers(8);
  test.FillTargetA();
  for (std::uint16_t port = 5; port <= 20; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.sink.toTargets.size() == 4);
  cr_assert(test.forwarder.PendingFlowCount() == 16);
  cr_assert(test.sink.resets.empty());
  test.Send(TestForward::Opening(21));
  cr_assert(test.forwarder.PendingFlowCount() == 16);
  cr_assert(test.sink.resets.size() == 1);
}

/// Capacity that became available without a notification goes to the pending
/// flows before a new one.
Test(Forwarder, NewFlowIsServedAfterPendingFlows)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  test.targets.Apply(MakeTarget("b", 6), test.now);
  auto late = TestForward::Opening(6);
  late.acknowledgement = 2;
  test.Send(late);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(test.sink.toTargets.size() == 6);
  cr_assert(test.sink.toTargets[4].packet.flow.client.port == 5);
  cr_assert(test.sink.toTargets[5].packet.flow.client.port == 6);
}

/// Once flows have moved between balancers, a flow without further packets here
/// is assumed to be at another balancer and is no longer counted for its
/// target.
Test(Forwarder, FlowsMovedToOtherBalancersAreNotCounted)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  auto request = TestForward::Following(opening, ComputeTag("a", 1));
  request.carriesData = true;
  test.Send(request);
  const auto& stats = test.targets.Find("a")->stats;
  test.AdvanceTime(Milliseconds(20));
  test.SendRequestOfForeignFlow(2);
  cr_assert(stats.inFlight == 2);
  test.AdvanceTime(Milliseconds(140));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(stats.inFlight == 1);
}

/// A first packet is pending here while the client's next copy goes to
/// another balancer, which opens the flow.
Test(Forwarder, PendingFlowOpenedByAnotherBalancerIsDropped)
{
  TestForward test;
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.AdvanceTime(Milliseconds(20));
  test.SendRequestOfForeignFlow(9);
  test.AdvanceTime(Milliseconds(260));
  test.forwarder.ResendUnanswered(test.now);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(test.metrics.Get(Counter::FlowLeft) == 1);
  cr_assert(test.sink.toTargets.size() == 5,
            "four flows opened here and one taken over");
  cr_assert(test.sink.resets.empty());
}

/// The time in the queue follows the route's time limit: a client that allows
/// 500 ms is refused while it still has time for another attempt.
Test(Forwarder, PendingFlowIsRefusedWithinTheTimeLimitOfItsRoute)
{
  TestForward test;
  auto routes = MakeRoutes(2);
  routes.routes[0].timeoutMs = 500;
  test.routes.Install(routes, test.now);
  test.FillTargetA();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.AdvanceTime(Milliseconds(199));
  test.forwarder.Expire(test.now);
  cr_assert(test.sink.resets.empty());
  test.AdvanceTime(Milliseconds(2));
  test.forwarder.Expire(test.now);
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.metrics.Get(Counter::FlowRefusedWaited) == 1);
}

namespace {

/// The copy aNumber of the first packet of a flow from the client port aPort.
auto CopyOfOpening(std::uint16_t aPort, std::uint32_t aNumber) -> Packet
{
  auto packet = TestForward::Opening(aPort);
  packet.acknowledgement = aNumber;
  return packet;
}

/// Opens a flow to target "a" whose client has sent its first request.
auto OpenConfirmedFlow(TestForward& aTest, std::uint16_t aPort) -> void
{
  aTest.targets.Apply(MakeTarget("a", 5), aTest.now);
  aTest.Send(CopyOfOpening(aPort, 0));
  aTest.AdvanceTime(Milliseconds(210));
  aTest.SendRequestOfForeignFlow(aPort);
  aTest.AdvanceTime(Milliseconds(1));
}

} // namespace

/// A second copy of a first packet arrives behind the flow's first request.
Test(Forwarder, LateCopyOfOpenFlowIsNotRefused)
{
  TestForward test;
  OpenConfirmedFlow(test, 1);
  auto draining = MakeTarget("a", 6);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  test.targets.Apply(draining, test.now);
  test.Send(CopyOfOpening(1, 1));
  cr_assert(test.sink.resets.empty());
}

/// A second copy of a first packet arrives behind the flow's first request.
Test(Forwarder, LateCopyOfOpenFlowDoesNotOpenItAtAnotherTarget)
{
  TestForward test;
  OpenConfirmedFlow(test, 1);
  test.targets.Apply(MakeTarget("b", 7), test.now);
  test.Send(CopyOfOpening(1, 1));
  cr_assert(test.sink.toTargets.back().target == "a");
}

/// As PendingFlowOpenedByAnotherBalancerIsDropped, but a full queue makes the
/// pending packet leave it.
Test(Forwarder, PendingFlowOpenedByAnotherBalancerIsNotRefusedByFullQueue)
{
  TestForward test;
  test.FillTargetA();
  test.Send(CopyOfOpening(5, 0));
  test.AdvanceTime(Milliseconds(20));
  test.SendRequestOfForeignFlow(9);
  test.AdvanceTime(Milliseconds(260));
  for (std::uint16_t port = 100; port < 400; ++port) {
    test.Send(CopyOfOpening(port, 0));
  }
  cr_assert(test.metrics.Get(Counter::FlowRefusedQueueFull) > 0);
  for (const auto& reset : test.sink.resets) {
    cr_assert(reset.flow.client.port != 5);
  }
}

/// A second copy of a first packet waits here while the client receives the
/// answer to its first copy, which another balancer sent, and then sends its
/// request to this balancer.
Test(Forwarder, PendingCopyOfFlowThatWasTakenOverIsNotRefused)
{
  TestForward test;
  auto routes = MakeRoutes(2);
  routes.routes[0].timeoutMs = 1000;
  test.routes.Install(routes, test.now);
  test.FillTargetA();
  test.Send(CopyOfOpening(5, 1));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.AdvanceTime(Milliseconds(100));
  test.SendRequestOfForeignFlow(5);
  test.AdvanceTime(Milliseconds(301));
  test.forwarder.Expire(test.now);
  cr_assert(test.sink.resets.empty());
}
