// Tests of request tracking in open flows and of its effects on target choice,
// on the detection of silent targets and on misbehaving clients.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A client that keeps one flow to target "a" for several requests.
struct PersistentFlow
{
  PersistentFlow(TestForward& aTest, std::uint16_t aPort,
                 Address aService = kOrdersAddress)
    : test(aTest)
    , opening(TestForward::Opening(aPort, aService))
    , sequence(opening.sequence)
  {
    test.Send(opening);
  }

  auto Send(bool aCarriesData) -> void
  {
    auto packet =
      TestForward::Following(opening, ComputeTag("a", 1), acknowledged);
    packet.sequence = sequence;
    packet.carriesData = aCarriesData;
    test.Send(packet);
  }

  auto SendRequest() -> void
  {
    sequence += 10;
    Send(true);
  }

  auto AcknowledgeAnswer() -> void
  {
    acknowledged += 1000;
    Send(false);
  }

  TestForward& test;
  Packet opening;
  std::uint32_t sequence;
  std::uint32_t acknowledged = 500;
};

auto StatsOfTargetA(TestForward& aTest) -> const TargetStats&
{
  return aTest.targets.Find("a")->stats;
}

/// Records two unanswered health checks of "a", the last one at the current
/// time.
auto MarkTargetAUnreachable(TestForward& aTest) -> void
{
  auto& stats = aTest.targets.Find("a")->stats;
  stats.unreachableChecks = 2;
  stats.unreachableSince = aTest.now;
  stats.lastCheckSentAt = aTest.now;
  stats.lastCheckAt = aTest.now;
}

} // namespace

/// Target "a" accepts four concurrent requests and any number of idle flows.
Test(OpenFlows, IdleFlowsOccupyNoSlots)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    PersistentFlow flow(test, port);
    flow.SendRequest();
    cr_assert(StatsOfTargetA(test).inFlight == 1);
    flow.AcknowledgeAnswer();
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(StatsOfTargetA(test).inFlight == 0);
  cr_assert(StatsOfTargetA(test).idleFlows == 20);
  cr_assert(StatsOfTargetA(test).openFlows == 20);
  cr_assert(test.forwarder.Flows().CountIn(FlowPhase::Idle) == 20);
}

Test(OpenFlows, RequestIsCountedUntilItsAnswer)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  for (int request = 0; request < 3; ++request) {
    flow.SendRequest();
    cr_assert(StatsOfTargetA(test).inFlight == 1);
    // A retransmitted request does not count as a new one.
    flow.Send(true);
    cr_assert(StatsOfTargetA(test).inFlight == 1);
    test.AdvanceTime(Milliseconds(50));
    flow.AcknowledgeAnswer();
    cr_assert(StatsOfTargetA(test).inFlight == 0);
    flow.Send(true);
    cr_assert(StatsOfTargetA(test).inFlight == 0, "late retransmission");
    test.AdvanceTime(Milliseconds(300));
  }
  const auto requestStats =
    test.forwarder.Flows().RequestStatsOf(kOrdersAddress);
  cr_assert(requestStats.ServiceTime().Mean() == Milliseconds(50));
  cr_assert(requestStats.ExpectedLaterRequests() > 1);
}

/// A client may acknowledge an answer only with its next request.
Test(OpenFlows, RequestThatAcknowledgesPreviousAnswerIsNew)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  flow.SendRequest();
  // The route allows 2 s for a response.
  test.AdvanceTime(Milliseconds(1900));
  flow.acknowledged += 1000;
  flow.SendRequest();
  test.AdvanceTime(Milliseconds(200));
  test.forwarder.Expire(test.now);
  cr_assert(StatsOfTargetA(test).inFlight == 1,
            "the timer restarted with the new request");
}

/// A flow that moved here from another balancer is busy if its packet carries a
/// request, and idle if the packet only acknowledges.
Test(OpenFlows, MovedFlowsAreBusyOnlyWithData)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto foreign =
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1));
  test.Send(foreign);
  cr_assert(StatsOfTargetA(test).inFlight == 0);
  cr_assert(StatsOfTargetA(test).idleFlows == 1);
  foreign.carriesData = true;
  test.Send(foreign);
  cr_assert(StatsOfTargetA(test).inFlight == 1);
  auto ended =
    TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
  ended.ends = true;
  test.Send(ended);
  cr_assert(StatsOfTargetA(test).openFlows == 1);
}

/// Idle flows that moved to other balancers count towards the load there, not
/// here.
Test(OpenFlows, IdleFlowsMovedToOtherBalancersAreNotCounted)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  flow.SendRequest();
  test.AdvanceTime(Milliseconds(50));
  flow.AcknowledgeAnswer();
  cr_assert(StatsOfTargetA(test).idleLoad > 0);
  test.AdvanceTime(Milliseconds(20));
  test.SendRequestOfForeignFlow(2);
  test.AdvanceTime(Milliseconds(2100));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(StatsOfTargetA(test).idleFlows == 0);
  cr_assert(StatsOfTargetA(test).idleLoad == 0);
}

/// When all clients connect at once, flows are balanced by the load that they
/// are expected to cause later, not only by the current requests.
Test(OpenFlows, PersistentFlowsAreSpreadOverTheTargets)
{
  TestForward test;
  const std::vector<std::string> ids{ "a", "b", "c", "d", "e" };
  for (const auto& id : ids) {
    test.targets.Apply(MakeTarget(id, 5), test.now);
  }
  for (std::uint16_t port = 1; port <= 50; ++port) {
    const auto opening = TestForward::Opening(port);
    test.Send(opening);
    const auto tag = test.sink.toTargets.back().packet.tag;
    for (int request = 0; request < 3; ++request) {
      auto packet = TestForward::Following(
        opening, tag, 500 + static_cast<std::uint32_t>(request) * 1000);
      packet.sequence += static_cast<std::uint32_t>(request);
      packet.carriesData = true;
      test.Send(packet);
      test.AdvanceTime(Milliseconds(10));
      packet.acknowledgement += 1000;
      packet.carriesData = false;
      test.Send(packet);
    }
  }
  for (const auto& id : ids) {
    const auto idleFlows = test.targets.Find(id)->stats.idleFlows;
    cr_assert(idleFlows >= 9 && idleFlows <= 11, "%s has %u", id.c_str(),
              idleFlows);
  }
}

/// A client opens flows without sending requests.
Test(OpenFlows, FlowsWithoutRequestsOccupyNoSlots)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 100; ++port) {
    PersistentFlow(test, port).Send(false);
  }
  cr_assert(StatsOfTargetA(test).inFlight == 0);
  PersistentFlow other(test, 200);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

/// A client that sends its request in small pieces occupies a slot no longer
/// than a request whose answer is never acknowledged.
Test(OpenFlows, RequestInSmallPiecesStopsCountingInTime)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  for (int piece = 0; piece < 22; ++piece) {
    flow.SendRequest();
    test.AdvanceTime(Milliseconds(100));
    test.forwarder.Expire(test.now);
  }
  cr_assert(StatsOfTargetA(test).inFlight == 0);
  cr_assert(test.metrics.Get(Counter::FlowAnswerUnseen) == 1);
}

/// With more idle flows than the table can track, idle flows are evicted in the
/// order of their last packets, and busy flows are kept.
Test(OpenFlows, IdleFlowsAreEvictedBeforeBusyFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow busy(test, 1);
  busy.SendRequest();
  constexpr std::uint32_t kIdleFlowCount = 33000;
  for (std::uint32_t client = 0; client < kIdleFlowCount; ++client) {
    auto packet =
      TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
    packet.flow.client.ip += client;
    test.Send(packet);
  }
  test.forwarder.Expire(test.now);
  cr_assert(test.forwarder.Flows().Size() == 32768);
  cr_assert(test.metrics.Get(Counter::FlowEvicted) ==
            kIdleFlowCount + 1 - 32768);
  cr_assert(StatsOfTargetA(test).inFlight == 1);
  // Packets of an evicted flow are still forwarded.
  auto packet =
    TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
  packet.carriesData = true;
  test.Send(packet);
  cr_assert(test.sink.toTargets.back().target == "a");
  PersistentFlow(test, 3).Send(false);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

/// After the configured idle timeout, both ends may have discarded a flow.
Test(OpenFlows, FlowIsDiscardedAfterIdleTimeout)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  flow.SendRequest();
  flow.AcknowledgeAnswer();
  test.AdvanceTime(Milliseconds(14900));
  test.forwarder.Expire(test.now);
  cr_assert(StatsOfTargetA(test).openFlows == 1);
  cr_assert(StatsOfTargetA(test).idleLoad == 0,
            "no further requests are expected");
  test.AdvanceTime(Milliseconds(1200));
  test.forwarder.Expire(test.now);
  cr_assert(StatsOfTargetA(test).openFlows == 0);
  cr_assert(test.forwarder.Flows().Size() == 0);
}

/// A target at its maximum number of flows does not answer new ones. Flows
/// beyond the maximum are not sent to it, so it is not mistaken for a silent
/// target.
Test(OpenFlows, TargetAtItsFlowLimitGetsNoMoreFlows)
{
  TestForward test(false);
  auto routes = MakeRoutes(1);
  routes.services.push_back({ "orders", "/health", 6 });
  test.routes.Install(routes, test.now);
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 6; ++port) {
    PersistentFlow(test, port).Send(false);
  }
  cr_assert(test.sink.toTargets.size() == 12);
  test.Send(TestForward::Opening(7));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.EndFlow(1);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

Test(OpenFlows, UnansweredRequestsMarkTargetSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  int unanswered = 0;
  int silent = 0;
  test.forwarder.SetUnansweredRequestListener(
    [&unanswered](DirectoryEntry&) { ++unanswered; });
  test.forwarder.SetSilentTargetListener(
    [&silent](DirectoryEntry&) { ++silent; });
  PersistentFlow flow(test, 1);
  flow.SendRequest();
  flow.AcknowledgeAnswer();
  test.AdvanceTime(Milliseconds(3000));
  flow.SendRequest();
  test.AdvanceTime(Milliseconds(200));
  flow.Send(true);
  cr_assert(unanswered == 1 && silent == 0);
  test.AdvanceTime(Milliseconds(400));
  flow.Send(true);
  cr_assert(unanswered == 2 && silent == 1);
  cr_assert(StatsOfTargetA(test).silentSince == test.now);
  flow.AcknowledgeAnswer();
  cr_assert(StatsOfTargetA(test).silentSince == Clock::time_point{});
  cr_assert(StatsOfTargetA(test).retransmittedRequests == 0);
}

Test(OpenFlows, LostRequestDoesNotMarkRespondingTargetSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  PersistentFlow other(test, 2);
  flow.SendRequest();
  other.SendRequest();
  for (const int pause : { 200, 400, 800 }) {
    test.AdvanceTime(Milliseconds(pause));
    other.AcknowledgeAnswer();
    other.SendRequest();
    flow.Send(true);
  }
  cr_assert(StatsOfTargetA(test).silentSince == Clock::time_point{});
  cr_assert(StatsOfTargetA(test).retransmittedRequests == 0);
  cr_assert(test.metrics.Get(Counter::RequestRepeated) == 3);
}

/// After a pause of the balancer's machine, several copies of a request are
/// read from the socket at once. They do not mean that the target is silent.
Test(OpenFlows, CopiesReadAtOnceDoNotMarkTargetSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  flow.SendRequest();
  flow.Send(true);
  flow.Send(true);
  cr_assert(StatsOfTargetA(test).retransmittedRequests == 0);
}

Test(OpenFlows, FlowToUnreachableTargetIsReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  PersistentFlow flow(test, 1, kProofsAddress);
  flow.SendRequest();
  flow.AcknowledgeAnswer();
  test.AdvanceTime(Milliseconds(1000));
  MarkTargetAUnreachable(test);
  const auto sent = test.sink.toTargets.size();
  flow.Send(false);
  cr_assert(test.sink.resets.empty(), "the packet carries no request");
  flow.SendRequest();
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.sink.toTargets.size() == sent + 1);
  cr_assert(test.metrics.Get(Counter::FlowTargetUnreachable) == 1);
  cr_assert(StatsOfTargetA(test).openFlows == 0);
}

/// Regression test: the only target of a service answered a new flow after its
/// failed checks, and the flow's first request was reset.
Test(OpenFlows, FlowThatWasOpenedAfterFailedChecksIsNotReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  MarkTargetAUnreachable(test);
  test.AdvanceTime(Milliseconds(100));
  PersistentFlow flow(test, 1, kProofsAddress);
  test.AdvanceTime(Milliseconds(10));
  flow.SendRequest();
  cr_assert(test.sink.resets.empty());
  cr_assert(test.sink.toTargets.back().packet.carriesData);
}

/// The target may have become unreachable after it answered the first packet.
Test(OpenFlows, FlowThatWasOpenedBeforeFailedChecksIsReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  PersistentFlow flow(test, 1, kProofsAddress);
  test.AdvanceTime(Milliseconds(500));
  MarkTargetAUnreachable(test);
  flow.SendRequest();
  cr_assert(test.sink.resets.size() == 1);
}

/// The client would not retry the request, and may still receive its answer.
Test(OpenFlows, AtMostOnceFlowToUnreachableTargetIsNotReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  MarkTargetAUnreachable(test);
  flow.SendRequest();
  cr_assert(test.sink.resets.empty());
  cr_assert(test.sink.toTargets.back().packet.carriesData);
}

/// Flows are not reset in three cases: a single unanswered check may be due to
/// a lost packet, an old check says nothing about the present, and a client's
/// progress outweighs failed checks.
Test(OpenFlows, InconclusiveChecksDoNotResetFlows)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  PersistentFlow flow(test, 1, kProofsAddress);
  MarkTargetAUnreachable(test);
  test.targets.Find("a")->stats.unreachableChecks = 1;
  flow.SendRequest();
  MarkTargetAUnreachable(test);
  test.AdvanceTime(Milliseconds(2001));
  flow.SendRequest();
  MarkTargetAUnreachable(test);
  test.AdvanceTime(Milliseconds(10));
  flow.AcknowledgeAnswer();
  flow.SendRequest();
  cr_assert(test.sink.resets.empty());
}

Test(OpenFlows, AnswerShowsThatTheWayWorkedWhenItsRequestWasSent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  PersistentFlow flow(test, 1);
  test.AdvanceTime(Milliseconds(100));
  const auto sentAt = test.now;
  flow.SendRequest();
  test.AdvanceTime(Milliseconds(70));
  flow.AcknowledgeAnswer();
  cr_assert(StatsOfTargetA(test).answeredSendAt == sentAt);
}

/// The first copy of the request may have been sent by another balancer.
Test(OpenFlows, AnswerToTakenOverRequestDoesNotShowThatTheWayWorks)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.SendRequestOfForeignFlow(1);
  test.AdvanceTime(Milliseconds(70));
  test.Send(
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1), 900));
  cr_assert(StatsOfTargetA(test).lastResponseAt == test.now);
  cr_assert(StatsOfTargetA(test).answeredSendAt == Clock::time_point{});
}

Test(RouteRequestStats, EstimatesLoadOfIdleFlows)
{
  RouteRequestStats requestStats;
  for (int i = 0; i < 200; ++i) {
    requestStats.RecordResponse(Milliseconds(100), Milliseconds(0));
    requestStats.RecordNextRequest(Milliseconds(900));
  }
  cr_assert(requestStats.IdleLoad() > 0.09 && requestStats.IdleLoad() < 0.11);
  cr_assert(requestStats.ExpectedLaterRequests() == 8,
            "the maximum that is counted");
  for (int i = 0; i < 200; ++i) {
    requestStats.RecordFlowEnd();
  }
  cr_assert(requestStats.IdleLoad() < 0.001);
  cr_assert(requestStats.ExpectedLaterRequests() < 0.001);
}

/// Clients 40 ms away: their requests take 50 ms at the target and are in
/// transit for 80 ms. Most of them occupy no slot at a given time, so many more
/// than two per slot may be in flight.
Test(OpenFlows, RequestsInTransitOccupyNoSlots)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.LearnRoundTrip(Milliseconds(80));
  PersistentFlow first(test, 1);
  test.AdvanceTime(Milliseconds(80));
  for (int request = 0; request < 20; ++request) {
    first.SendRequest();
    test.AdvanceTime(Milliseconds(130));
    first.AcknowledgeAnswer();
  }
  const auto requestStats =
    test.forwarder.Flows().RequestStatsOf(kOrdersAddress);
  cr_assert(requestStats.ServiceTime().Mean() == Milliseconds(50));
  for (std::uint16_t port = 2; port <= 9; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(StatsOfTargetA(test).inFlight == 8);
  cr_assert(StatsOfTargetA(test).busyLoad < 2.5, "%f",
            StatsOfTargetA(test).busyLoad);
}

/// A response that takes much longer than usual shows that the request occupies
/// a slot, however far away the client is.
Test(OpenFlows, OverdueRequestOccupiesASlot)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.LearnRoundTrip(Milliseconds(80));
  PersistentFlow flow(test, 1);
  test.AdvanceTime(Milliseconds(80));
  for (int request = 0; request < 20; ++request) {
    flow.SendRequest();
    test.AdvanceTime(Milliseconds(130));
    flow.AcknowledgeAnswer();
  }
  flow.SendRequest();
  cr_assert(StatsOfTargetA(test).busyLoad < 0.5);
  test.AdvanceTime(Milliseconds(300));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(StatsOfTargetA(test).busyLoad == 1);
  flow.AcknowledgeAnswer();
  cr_assert(StatsOfTargetA(test).busyLoad == 0);
}
