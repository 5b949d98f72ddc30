// What becomes of each packet of a client.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

Test(Forwarder, OpeningPacketGetsTargetAndTag)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.toTargets[0].target == "a");
  cr_assert(test.sink.toTargets[0].packet.tag == ComputeTag("a", 1));
}

Test(Forwarder, AnotherBalancerForwardsByTheTagAlone)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  // This balancer never saw the flow's first packet.
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("b", 1)));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.toTargets[0].target == "b");
}

Test(Forwarder, TagOfAnotherServiceReachesNobody)
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

Test(Forwarder, TagInAnOpeningPacketIsIgnored)
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
  test.forwarder.OnDatagram(data.data(), data.size(), test.now);
  cr_assert(test.metrics.Get(Counter::PacketMalformed) == 1);
  cr_assert(test.sink.toTargets.empty() && test.sink.resets.empty());
}

Test(Forwarder, DrainingTargetKeepsItsFlowsAndGetsNoNewOnes)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto leaving = MakeTarget("a", 7);
  leaving.state = static_cast<std::uint8_t>(TargetState::Draining);
  test.targets.Apply(leaving, test.now);
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
  test.Pass(Milliseconds(30000));
  test.forwarder.Expire(test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.size() == 1);
  test.Send(TestForward::Opening(2));
  cr_assert(test.sink.toTargets.size() == 1);
  cr_assert(test.sink.resets.size() == 1);
}

Test(Forwarder, DepartedTargetIsForgottenAfterTheLongestFlow)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  test.targets.Remove("a", 9, Milliseconds(0), test.now);
  test.Pass(Milliseconds(62000));
  test.forwarder.Expire(test.now);
  cr_assert(test.targets.Size() == 0);
  cr_assert(test.forwarder.Flows().Size() == 0);
}

Test(Forwarder, FlowOfAnEarlierIncarnationIsReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("a", 8, "orders", 2), test.now);
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1)));
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.size() == 1);
  test.Send(TestForward::Opening(2));
  cr_assert(test.sink.toTargets.back().incarnation == 2);
}

Test(Forwarder, ReusedAddressNeverGetsTheOldFlow)
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
  cr_assert(test.sink.resets.size() == 1, "the old target has ended");
}

Test(Forwarder, RouteThatIsUnknownRefusesNewFlowsOnly)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const Address nowhere{ 0xc6120009, 443 };
  test.Send(TestForward::Opening(1, nowhere));
  cr_assert(test.sink.resets.size() == 1);
  // A version that has the route may not have come here yet.
  test.Send(TestForward::Following(TestForward::Opening(2, nowhere),
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

/// Routes come and go for days; what they allowed is kept while a flow may
/// live.
Test(Forwarder, RemovedRouteIsForgottenAfterTheLongestFlow)
{
  TestForward test;
  test.routes.Install(RouteSet{ 2, 2, 15000, {}, {} }, test.now);
  test.Pass(Milliseconds(60000));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrders) == RouteState::Removed);
  test.Pass(Milliseconds(2000));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrders) == RouteState::Unknown);
  test.routes.Install(MakeRoutes(3), test.now);
  test.Pass(std::chrono::minutes(5));
  test.forwarder.Expire(test.now);
  cr_assert(test.routes.StateOf(kOrders) == RouteState::InForce);
  cr_assert(test.routes.Allows(kOrders, "orders"));
}

Test(Forwarder, OpenFlowsStayWhenTheirRouteChangesItsService)
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

Test(Forwarder, CopyGoesWhereTheFirstWent)
{
  TestForward test;
  for (const auto* id : { "a", "b", "c", "d" }) {
    test.targets.Apply(MakeTarget(id, 5), test.now);
  }
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.targets.Find(first)->stats.lastResponseAt = test.now + Milliseconds(10);
  test.Pass(Milliseconds(200));
  auto copy = TestForward::Opening(1);
  copy.acknowledgement = 1;
  test.Send(copy);
  cr_assert(test.sink.toTargets.back().target == first);
}

Test(Forwarder, FlowOfASilentTargetMovesBeforeTheClientRepeats)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  std::vector<std::string> silent;
  test.forwarder.SetSilentTargetListener([&silent](DirectoryEntry& aTarget) {
    silent.push_back(aTarget.record.id);
  });
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.Pass(Milliseconds(61));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2);
  cr_assert(test.sink.toTargets[1].target != first);
  cr_assert(silent == std::vector<std::string>{ first });
  // New flows avoid it from now on.
  for (std::uint16_t port = 2; port <= 4; ++port) {
    test.Send(TestForward::Opening(port));
    cr_assert(test.sink.toTargets.back().target != first);
  }
}

Test(Forwarder, LostOpeningIsRepeatedToATargetThatAnswersOthers)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.Pass(Milliseconds(20));
  test.targets.Find(first)->stats.lastResponseAt = test.now;
  test.Pass(Milliseconds(41));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2);
  cr_assert(test.sink.toTargets[1].target == first);
}

Test(Forwarder, LateAnswerOfTheFirstTargetDoesNotMoveAnOpenFlow)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  test.Pass(Milliseconds(61));
  test.forwarder.ResendUnanswered(test.now);
  const auto first = test.sink.toTargets[0].target;
  const auto second = test.sink.toTargets[1].target;
  test.Send(TestForward::Following(opening, ComputeTag(second, 1)));
  cr_assert(test.sink.toTargets.back().target == second);
  // The first target answers late, and the client repeats its tag from now on.
  test.Send(TestForward::Following(opening, ComputeTag(first, 1), 900));
  cr_assert(test.sink.toTargets.back().target == second);
  cr_assert(test.sink.toTargets.back().packet.tag == ComputeTag(second, 1));
}

Test(Forwarder, RepeatedPacketsOfAClientAreNoSignOfLife)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  test.Send(TestForward::Following(opening, ComputeTag("a", 1)));
  const auto answered = test.targets.Find("a")->stats.lastResponseAt;
  cr_assert(answered == test.now);
  test.Pass(Milliseconds(200));
  test.Send(TestForward::Following(opening, ComputeTag("a", 1)));
  cr_assert(test.targets.Find("a")->stats.lastResponseAt == answered);
  test.Send(TestForward::Following(opening, ComputeTag("a", 1), 501));
  cr_assert(test.targets.Find("a")->stats.lastResponseAt == test.now);
}

Test(Forwarder, OpeningsWaitUntilRoutesAreKnown)
{
  TestForward test(false);
  test.Send(TestForward::Opening(1));
  cr_assert(test.sink.resets.empty() && test.sink.toTargets.empty());
  test.routes.Install(MakeRoutes(1), test.now);
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.sink.toTargets.size() == 1);
}

Test(Forwarder, BusyServiceServesTheNewestFirstAndRefusesTheOld)
{
  TestForward test;
  test.FillTarget();
  cr_assert(test.sink.toTargets.size() == 4);
  test.Send(TestForward::Opening(5));
  test.Pass(Milliseconds(10));
  test.Send(TestForward::Opening(6));
  cr_assert(test.sink.toTargets.size() == 4);
  cr_assert(test.forwarder.PendingFlowCount() == 2);
  test.End(1);
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 6);
  test.Pass(Milliseconds(1300));
  for (std::uint16_t port = 2; port <= 4; ++port) {
    test.Send(TestForward::Following(TestForward::Opening(port),
                                     ComputeTag("a", 1), 600));
  }
  test.forwarder.Expire(test.now);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.sink.resets[0].flow.client.port == 5);
}

Test(Forwarder, WaitingFlowThatACopyOpenedIsNotOpenedAgain)
{
  TestForward test;
  test.FillTarget();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  // Room comes, and the client's copy before the one that waits.
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.Pass(Milliseconds(200));
  test.Send(TestForward::Opening(5));
  const auto sent = test.sink.toTargets.size();
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 5);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.sink.toTargets.size() == sent);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

Test(Forwarder, EndedFlowsLeaveTheCountOfTheirTarget)
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

/// A late copy of a packet whose first copies were lost is no newer than one
/// that came before it.
Test(Forwarder, LateCopyWaitsBehindWhatWasSentAfterIt)
{
  TestForward test;
  test.FillTarget();
  test.Send(TestForward::Opening(5));
  test.Pass(Milliseconds(10));
  auto late = TestForward::Opening(6);
  late.acknowledgement = 2;
  test.Send(late);
  cr_assert(test.forwarder.PendingFlowCount() == 2);
  test.End(1);
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  cr_assert(test.sink.toTargets.back().packet.flow.client.port == 5);
}

/// The first of eight balancers that is back has room for what each slot serves
/// in the longest wait, eight requests of 72 ms.
Test(Forwarder, OneOfEightHoldsTheQueueOfAll)
{
  TestForward test;
  test.forwarder.SetBalancers(8);
  test.FillTarget();
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

/// Room that nobody was told of goes to those that wait first.
Test(Forwarder, ArrivalTakesItsTurnWithThoseThatWait)
{
  TestForward test;
  test.FillTarget();
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

/// The platform hashes over other balancers than before: the answers to flows
/// that were opened here reach others, and theirs come here.
Test(Forwarder, MovedFlowIsNoSignOfSilence)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.Send(TestForward::Opening(1));
  const auto& target = *test.targets.Find(test.sink.toTargets[0].target);
  test.Pass(Milliseconds(20));
  test.SendForeign(2);
  cr_assert(test.metrics.Get(Counter::FlowTakenOver) == 1);
  cr_assert(test.forwarder.Flows().Size() == 2);
  test.Pass(Milliseconds(60));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2, "nothing is sent again");
  cr_assert(target.stats.silentSince == Clock::time_point{});
}

/// A flow that was open here before and had no packet since is another
/// balancer's, and leaves the count of its target.
Test(Forwarder, FlowsThatMovedAwayLeaveTheCount)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  auto request = TestForward::Following(opening, ComputeTag("a", 1));
  request.carriesData = true;
  test.Send(request);
  const auto& stats = test.targets.Find("a")->stats;
  test.Pass(Milliseconds(20));
  test.SendForeign(2);
  cr_assert(stats.inFlight == 2);
  test.Pass(Milliseconds(140));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(stats.inFlight == 1);
}

/// A first packet waits here while its client's copy goes to another balancer.
Test(Forwarder, WaitingFlowWhoseCopyWentElsewhereIsNotOpenedHere)
{
  TestForward test;
  test.FillTarget();
  test.Send(TestForward::Opening(5));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.Pass(Milliseconds(20));
  test.SendForeign(9);
  test.Pass(Milliseconds(260));
  test.forwarder.ResendUnanswered(test.now);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(test.metrics.Get(Counter::FlowLeft) == 1);
  cr_assert(test.sink.toTargets.size() == 5, "four opened, one taken over");
  cr_assert(test.sink.resets.empty());
}
