// What the packets of open flows show of the requests inside, and what follows
// for placing, for silent targets and for clients that misbehave.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A client with one flow to target "a".
struct KeptFlow
{
  KeptFlow(TestForward& aTest, std::uint16_t aPort, Address aService = kOrders)
    : test(aTest)
    , opening(TestForward::Opening(aPort, aService))
    , sequence(opening.sequence)
  {
    test.Send(opening);
  }

  auto Send(bool aData) -> void
  {
    auto packet =
      TestForward::Following(opening, ComputeTag("a", 1), acknowledged);
    packet.sequence = sequence;
    packet.carriesData = aData;
    test.Send(packet);
  }

  auto Ask() -> void
  {
    sequence += 10;
    Send(true);
  }

  auto TakeAnswer() -> void
  {
    acknowledged += 1000;
    Send(false);
  }

  TestForward& test;
  Packet opening;
  std::uint32_t sequence;
  std::uint32_t acknowledged = 500;
};

auto EvidenceOf(TestForward& aTest) -> const TargetStats&
{
  return aTest.targets.Find("a")->stats;
}

/// Says that two health checks of "a" got no answer just now.
auto MakeUnreachable(TestForward& aTest) -> void
{
  auto& stats = aTest.targets.Find("a")->stats;
  stats.unansweredChecks = 2;
  stats.lastCheckAt = aTest.now;
}

} // namespace

/// "a" takes four requests at a time, and any number of flows that ask nothing.
Test(OpenFlows, IdleFlowTakesNoSlot)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    KeptFlow flow(test, port);
    flow.Ask();
    cr_assert(EvidenceOf(test).inFlight == 1);
    flow.TakeAnswer();
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  cr_assert(EvidenceOf(test).inFlight == 0);
  cr_assert(EvidenceOf(test).idleFlows == 20);
  cr_assert(EvidenceOf(test).openFlows == 20);
  cr_assert(test.forwarder.Flows().CountIn(FlowPhase::Idle) == 20);
}

Test(OpenFlows, EachRequestCountsUntilItsAnswer)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  for (int request = 0; request < 3; ++request) {
    flow.Ask();
    cr_assert(EvidenceOf(test).inFlight == 1);
    // A repetition begins nothing.
    flow.Send(true);
    cr_assert(EvidenceOf(test).inFlight == 1);
    test.Pass(Milliseconds(50));
    flow.TakeAnswer();
    cr_assert(EvidenceOf(test).inFlight == 0);
    flow.Send(true);
    cr_assert(EvidenceOf(test).inFlight == 0, "a late repetition");
    test.Pass(Milliseconds(300));
  }
  const auto work = test.forwarder.Flows().RequestStatsOf(kOrders);
  cr_assert(work.MeanResponseTime() == Milliseconds(50));
  cr_assert(work.ExpectedLaterRequests() > 1);
}

/// The answer's acknowledgement may come with the next request only.
Test(OpenFlows, RequestThatAcknowledgesTheLastAnswerIsANewOne)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  flow.Ask();
  test.Pass(Milliseconds(700));
  flow.acknowledged += 1000;
  flow.Ask();
  test.Pass(Milliseconds(200));
  test.forwarder.Expire(test.now);
  cr_assert(EvidenceOf(test).inFlight == 1, "its time began anew");
}

/// Flows come here from other balancers: those that ask are at work, those that
/// only acknowledge may ask later.
Test(OpenFlows, MovedFlowsCountAsWorkOnlyWithData)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  auto foreign =
    TestForward::Following(TestForward::Opening(1), ComputeTag("a", 1));
  test.Send(foreign);
  cr_assert(EvidenceOf(test).inFlight == 0);
  cr_assert(EvidenceOf(test).idleFlows == 1);
  foreign.carriesData = true;
  test.Send(foreign);
  cr_assert(EvidenceOf(test).inFlight == 1);
  auto ended =
    TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
  ended.ends = true;
  test.Send(ended);
  cr_assert(EvidenceOf(test).openFlows == 1);
}

/// Flows that moved on to other balancers are theirs to weigh.
Test(OpenFlows, IdleFlowsThatMovedAwayLeaveTheLoad)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  flow.Ask();
  flow.TakeAnswer();
  cr_assert(EvidenceOf(test).idleLoad > 0);
  test.Pass(Milliseconds(20));
  test.SendForeign(2);
  test.Pass(Milliseconds(2100));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(EvidenceOf(test).idleFlows == 0);
  cr_assert(EvidenceOf(test).idleLoad == 0);
}

/// All clients connect at once: what their flows bring later is spread, not
/// only what is at work now.
Test(OpenFlows, KeptFlowsSpreadOverTheTargets)
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
      packet.sequence += static_cast<std::uint32_t>(request) + 1;
      packet.carriesData = true;
      test.Send(packet);
      test.Pass(Milliseconds(10));
      packet.acknowledgement += 1000;
      packet.carriesData = false;
      test.Send(packet);
    }
  }
  for (const auto& id : ids) {
    const auto idle = test.targets.Find(id)->stats.idleFlows;
    cr_assert(idle >= 9 && idle <= 11, "%s has %u", id.c_str(), idle);
  }
}

/// A client opens flows and asks nothing.
Test(OpenFlows, ClientThatNeverAsksTakesNoSlot)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 100; ++port) {
    KeptFlow(test, port).Send(false);
  }
  cr_assert(EvidenceOf(test).inFlight == 0);
  KeptFlow other(test, 200);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

/// A client sends its request byte by byte; it holds a place no longer than one
/// whose answer is not seen.
Test(OpenFlows, RequestInSmallPiecesIsGivenUpInTime)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  for (int piece = 0; piece < 10; ++piece) {
    flow.Ask();
    test.Pass(Milliseconds(100));
    test.forwarder.Expire(test.now);
  }
  cr_assert(EvidenceOf(test).inFlight == 0);
  cr_assert(test.metrics.Get(Counter::FlowAnswerUnseen) == 1);
}

/// More idle flows than are tracked: the longest idle ones are dropped, and
/// those at work stay.
Test(OpenFlows, IdleFlowsDoNotPushOutThoseAtWork)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow busy(test, 1);
  busy.Ask();
  constexpr std::uint32_t kMany = 33000;
  for (std::uint32_t client = 0; client < kMany; ++client) {
    auto packet =
      TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
    packet.flow.client.ip += client;
    test.Send(packet);
  }
  test.forwarder.Expire(test.now);
  cr_assert(test.forwarder.Flows().Size() == 32768);
  cr_assert(test.metrics.Get(Counter::FlowEvicted) == kMany + 1 - 32768);
  cr_assert(EvidenceOf(test).inFlight == 1);
  // A flow that was dropped is forwarded all the same.
  auto packet =
    TestForward::Following(TestForward::Opening(2), ComputeTag("a", 1));
  packet.carriesData = true;
  test.Send(packet);
  cr_assert(test.sink.toTargets.back().target == "a");
  KeptFlow(test, 3).Send(false);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

/// After the configuration's idle limit both ends may have discarded a flow.
Test(OpenFlows, FlowBeyondTheIdleLimitIsForgotten)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  flow.Ask();
  flow.TakeAnswer();
  test.Pass(Milliseconds(14900));
  test.forwarder.Expire(test.now);
  cr_assert(EvidenceOf(test).openFlows == 1);
  cr_assert(EvidenceOf(test).idleLoad == 0, "nothing is expected of it");
  test.Pass(Milliseconds(1200));
  test.forwarder.Expire(test.now);
  cr_assert(EvidenceOf(test).openFlows == 0);
  cr_assert(test.forwarder.Flows().Size() == 0);
}

/// A target that holds as many flows as it can does not answer new ones, which
/// is no silence.
Test(OpenFlows, TargetWithAllFlowsItHoldsGetsNoMore)
{
  TestForward test(false);
  auto routes = MakeRoutes(1);
  routes.services.push_back({ "orders", "/health", 6 });
  test.routes.Install(routes, test.now);
  test.targets.Apply(MakeTarget("a", 5), test.now);
  for (std::uint16_t port = 1; port <= 6; ++port) {
    KeptFlow(test, port).Send(false);
  }
  cr_assert(test.sink.toTargets.size() == 12);
  test.Send(TestForward::Opening(7));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
  test.End(1);
  cr_assert(test.forwarder.PendingFlowCount() == 0);
}

Test(OpenFlows, RequestsThatNobodyAnswersMakeATargetSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  int unanswered = 0;
  int silent = 0;
  test.forwarder.SetUnansweredRequestListener(
    [&unanswered](DirectoryEntry&) { ++unanswered; });
  test.forwarder.SetSilentTargetListener(
    [&silent](DirectoryEntry&) { ++silent; });
  KeptFlow flow(test, 1);
  flow.Ask();
  flow.TakeAnswer();
  test.Pass(Milliseconds(3000));
  flow.Ask();
  test.Pass(Milliseconds(200));
  flow.Send(true);
  cr_assert(unanswered == 1 && silent == 0);
  test.Pass(Milliseconds(400));
  flow.Send(true);
  cr_assert(unanswered == 2 && silent == 1);
  cr_assert(EvidenceOf(test).silentSince == test.now);
  flow.TakeAnswer();
  cr_assert(EvidenceOf(test).silentSince == Clock::time_point{});
  cr_assert(EvidenceOf(test).retransmittedRequests == 0);
}

Test(OpenFlows, LostRequestToATargetThatAnswersOthersIsNoSilence)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  KeptFlow other(test, 2);
  flow.Ask();
  other.Ask();
  for (const int pause : { 200, 400, 800 }) {
    test.Pass(Milliseconds(pause));
    other.TakeAnswer();
    other.Ask();
    flow.Send(true);
  }
  cr_assert(EvidenceOf(test).silentSince == Clock::time_point{});
  cr_assert(EvidenceOf(test).retransmittedRequests == 0);
  cr_assert(test.metrics.Get(Counter::RequestRepeated) == 3);
}

/// Both copies waited in the socket of a machine that stood still.
Test(OpenFlows, RepetitionsReadAtOnceAreNoSilence)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  flow.Ask();
  flow.Send(true);
  flow.Send(true);
  cr_assert(EvidenceOf(test).retransmittedRequests == 0);
}

Test(OpenFlows, FlowToAnUnreachableTargetIsReset)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  KeptFlow flow(test, 1, kProofs);
  flow.Ask();
  flow.TakeAnswer();
  test.Pass(Milliseconds(1000));
  MakeUnreachable(test);
  const auto sent = test.sink.toTargets.size();
  flow.Send(false);
  cr_assert(test.sink.resets.empty(), "it asks nothing");
  flow.Ask();
  cr_assert(test.sink.resets.size() == 1);
  cr_assert(test.sink.toTargets.size() == sent + 1);
  cr_assert(test.metrics.Get(Counter::FlowTargetUnreachable) == 1);
  cr_assert(EvidenceOf(test).openFlows == 0);
}

/// Its client would not ask again, and may still get its answer.
Test(OpenFlows, AtMostOnceFlowToAnUnreachableTargetIsLeftOpen)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  KeptFlow flow(test, 1);
  MakeUnreachable(test);
  flow.Ask();
  cr_assert(test.sink.resets.empty());
  cr_assert(test.sink.toTargets.back().packet.carriesData);
}

/// One check may have met a lost packet; an old one says nothing about now; a
/// client that shows progress knows better than any check.
Test(OpenFlows, DoubtfulChecksResetNothing)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5, "proofs"), test.now);
  KeptFlow flow(test, 1, kProofs);
  MakeUnreachable(test);
  test.targets.Find("a")->stats.unansweredChecks = 1;
  flow.Ask();
  MakeUnreachable(test);
  test.Pass(Milliseconds(2001));
  flow.Ask();
  MakeUnreachable(test);
  test.Pass(Milliseconds(10));
  flow.TakeAnswer();
  flow.Ask();
  cr_assert(test.sink.resets.empty());
}

Test(RouteRequestStats, LearnsWhatAnIdleFlowTakes)
{
  RouteRequestStats work;
  for (int i = 0; i < 200; ++i) {
    work.RecordResponse(Milliseconds(100));
    work.RecordNextRequest(Milliseconds(900));
  }
  cr_assert(work.IdleLoad() > 0.09 && work.IdleLoad() < 0.11);
  cr_assert(work.ExpectedLaterRequests() == 8, "the most that is weighed");
  for (int i = 0; i < 200; ++i) {
    work.RecordFlowEnd();
  }
  cr_assert(work.IdleLoad() < 0.001);
  cr_assert(work.ExpectedLaterRequests() < 0.001);
}
