// Tests of flows whose first packet went to more than one target.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/ContestedFlowExchange.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A balancer with targets "a" and "b".
struct Balancer : TestForward
{
  Balancer()
  {
    targets.Apply(MakeTarget("a", 5), now);
    targets.Apply(MakeTarget("b", 6), now);
    forwarder.SetContestedFlowListener(
      [this](const std::vector<ContestedFlow>& aFlows) {
        for (const auto& flow : aFlows) {
          news.push_back(flow);
          for (auto* peer : peers) {
            peer->forwarder.OnContestedFlow(flow);
          }
        }
      });
  }

  auto LastTarget() const -> std::string
  {
    return sink.toTargets.empty() ? std::string()
                                  : sink.toTargets.back().target;
  }

  std::vector<ContestedFlow> news;
  std::vector<Balancer*> peers;
};

/// Two balancers, the first of which sends the first packet of a flow to one
/// target and, after silence, to the other one. The client opens the flow
/// there.
struct ContestedFlowTest
{
  ContestedFlowTest()
  {
    first.peers.push_back(&second);
    second.peers.push_back(&first);
    first.LearnRoundTrip(Milliseconds(10));
    first.Send(opening);
    silentTarget = first.LastTarget();
    AdvanceTime(Milliseconds(100));
    first.forwarder.ResendUnanswered(first.now);
    flowTarget = first.LastTarget();
  }

  auto AdvanceTime(Milliseconds aTime) -> void
  {
    first.AdvanceTime(aTime);
    second.now = first.now;
  }

  /// Returns the first request, from a client that aTarget answered last.
  auto RequestAfterAnswerOf(const std::string& aTarget) const -> Packet
  {
    auto request = TestForward::Following(
      opening, OpeningTag(ComputeTag(aTarget, 1), opening.sequence));
    request.carriesData = true;
    return request;
  }

  Balancer first;
  Balancer second;
  Packet opening = TestForward::Opening(1);
  std::string silentTarget;
  std::string flowTarget;
};

} // namespace

/// After a planned restart of a balancer, another one sent the repetition of a
/// request to a target that had answered late and did not hold the flow. That
/// target reset the flow.
Test(ContestedFlows, RepeatedRequestAfterALateAnswerStaysAtItsTarget)
{
  ContestedFlowTest test;
  cr_assert_neq(test.silentTarget, test.flowTarget);
  test.first.Send(test.RequestAfterAnswerOf(test.flowTarget));
  test.first.forwarder.ResendUnanswered(test.first.now);
  cr_assert(test.first.LastTarget() == test.flowTarget);
  test.AdvanceTime(Milliseconds(200));
  test.second.Send(test.RequestAfterAnswerOf(test.silentTarget));
  cr_assert(test.second.LastTarget() == test.flowTarget);
  cr_assert(test.second.sink.resets.empty());
  cr_assert_eq(test.second.metrics.Get(Counter::PacketTagCorrected), 1);
  // A later request, too, may carry the tag of the late answer.
  auto later = test.RequestAfterAnswerOf(test.silentTarget);
  later.sequence += 300;
  Balancer third;
  third.forwarder.OnContestedFlow(test.first.news.back());
  third.Send(later);
  cr_assert(third.LastTarget() == test.flowTarget);
}

/// The flow moves between the handshake and its first request.
Test(ContestedFlows, FirstRequestAtAnotherBalancerSettlesTheFlow)
{
  ContestedFlowTest test;
  test.AdvanceTime(Milliseconds(10));
  test.second.Send(test.RequestAfterAnswerOf(test.flowTarget));
  test.second.forwarder.ResendUnanswered(test.second.now);
  cr_assert(test.second.LastTarget() == test.flowTarget);
  // The flow returns, with the tag of a late answer.
  test.AdvanceTime(Milliseconds(200));
  test.first.Send(test.RequestAfterAnswerOf(test.silentTarget));
  cr_assert(test.first.LastTarget() == test.flowTarget);
}

/// The balancer that opened the flow was lost before it reported the target.
Test(ContestedFlows, RepeatedRequestOfAFlowWithoutKnownTargetIsDropped)
{
  ContestedFlowTest test;
  test.first.peers.clear();
  test.first.Send(test.RequestAfterAnswerOf(test.flowTarget));
  test.AdvanceTime(Milliseconds(200));
  test.second.Send(test.RequestAfterAnswerOf(test.silentTarget));
  cr_assert(test.second.sink.toTargets.empty());
  cr_assert(test.second.sink.resets.empty());
  cr_assert_eq(test.second.metrics.Get(Counter::PacketTagUncertain), 1);
}

/// Two balancers each handled a copy of the first packet, and only the second
/// one knows that there was another copy.
Test(ContestedFlows, CopyOfAFirstPacketThatAnotherBalancerHandledIsReported)
{
  Balancer first;
  Balancer second;
  second.peers.push_back(&first);
  const auto opening = TestForward::Opening(1);
  first.Send(opening);
  const auto silentTarget = first.LastTarget();
  const std::string flowTarget = silentTarget == "a" ? "b" : "a";
  auto copy = opening;
  copy.acknowledgement = 1;
  second.Send(copy);
  second.forwarder.ResendUnanswered(second.now);
  cr_assert_eq(first.sink.toTargets.size(), 1);
  auto request = TestForward::Following(
    opening, OpeningTag(ComputeTag(flowTarget, 1), opening.sequence));
  request.carriesData = true;
  second.Send(request);
  second.forwarder.ResendUnanswered(second.now);
  first.AdvanceTime(Milliseconds(400));
  request.tag = OpeningTag(ComputeTag(silentTarget, 1), opening.sequence);
  first.Send(request);
  cr_assert(first.LastTarget() == flowTarget);
}

/// A balancer that has just started does not know which flows are contested.
Test(ContestedFlows, BalancerThatHasNotHeardItsPeersDropsUncertainPackets)
{
  Balancer test;
  const auto opening = TestForward::Opening(1);
  auto request = TestForward::Following(
    opening, OpeningTag(ComputeTag("a", 1), opening.sequence));
  request.carriesData = true;
  test.forwarder.SetContestedFlowsKnownFrom(Clock::time_point::max());
  test.Send(request);
  test.forwarder.SetContestedFlowsKnownFrom(test.now);
  test.AdvanceTime(std::chrono::seconds(9));
  test.Send(request);
  cr_assert(test.sink.toTargets.empty());
  cr_assert_eq(test.metrics.Get(Counter::PacketTagUncertain), 2);
  // Its own flows, and packets with the tag of a target, are certain.
  test.Send(TestForward::Opening(2));
  auto own = TestForward::Following(TestForward::Opening(2),
                                    test.sink.toTargets[0].packet.tag);
  test.Send(own);
  request.tag = ComputeTag("b", 1);
  test.Send(request);
  cr_assert_eq(test.sink.toTargets.size(), 3);
  test.AdvanceTime(std::chrono::seconds(2));
  auto other = TestForward::Opening(3);
  auto moved = TestForward::Following(
    other, OpeningTag(ComputeTag("a", 1), other.sequence));
  test.Send(moved);
  cr_assert_eq(test.sink.toTargets.size(), 4);
}

/// A balancer that had just started dropped the first request of flows whose
/// first packet had waited at another balancer, again and again.
Test(ContestedFlows,
     RepetitionOfADroppedRequestGoesToTheTargetOfItsFirstSending)
{
  Balancer test;
  test.forwarder.SetContestedFlowsKnownFrom(Clock::time_point::max());
  const auto opening = TestForward::Opening(1);
  auto request = TestForward::Following(
    opening, OpeningTag(ComputeTag("a", 1), opening.sequence));
  request.carriesData = true;
  test.Send(request);
  cr_assert(test.sink.toTargets.empty());
  // Another target has answered late.
  test.AdvanceTime(Milliseconds(200));
  request.tag = OpeningTag(ComputeTag("b", 1), opening.sequence);
  test.Send(request);
  cr_assert(test.LastTarget() == "a");
}

/// A request was sent for the first time at another balancer.
Test(ContestedFlows, LaterRepetitionsDoNotNameTheTarget)
{
  Balancer test;
  test.forwarder.SetContestedFlowsKnownFrom(Clock::time_point::max());
  const auto opening = TestForward::Opening(1);
  auto request = TestForward::Following(
    opening, OpeningTag(ComputeTag("b", 1), opening.sequence));
  request.carriesData = true;
  for (const int interval : { 400, 800, 1600 }) {
    test.Send(request);
    test.Send(request);
    test.AdvanceTime(Milliseconds(interval));
  }
  test.Send(request);
  cr_assert(test.sink.toTargets.empty());
}

/// The balancer that opened the flow did not see its first request, and sent
/// its first packet to a second target as well.
Test(ContestedFlows, FlowThatIsContestedAfterItsFirstRequestStaysAtItsTarget)
{
  ContestedFlowTest test;
  Balancer third;
  third.forwarder.SetContestedFlowsKnownFrom(Clock::time_point::max());
  third.now = test.first.now - Milliseconds(90);
  third.Send(test.RequestAfterAnswerOf(test.silentTarget));
  third.now = test.first.now;
  auto news = test.first.news.back();
  news.since = third.now;
  third.forwarder.OnContestedFlow(news);
  third.AdvanceTime(Milliseconds(110));
  third.Send(test.RequestAfterAnswerOf(test.flowTarget));
  cr_assert(third.LastTarget() == test.silentTarget);
}

/// A client uses its port again.
Test(ContestedFlows, NextFlowOfAPortIsNotMistakenForTheContestedOne)
{
  ContestedFlowTest test;
  test.first.Send(test.RequestAfterAnswerOf(test.flowTarget));
  test.first.forwarder.ResendUnanswered(test.first.now);
  test.AdvanceTime(std::chrono::seconds(20));
  test.opening.sequence += 123456;
  test.second.Send(test.RequestAfterAnswerOf(test.silentTarget));
  cr_assert(test.second.LastTarget() == test.silentTarget);
}

/// A late copy of a first packet opened the flow at another target, too.
Test(ContestedFlows, CopyOfASettledFlowIsDropped)
{
  ContestedFlowTest test;
  test.first.Send(test.RequestAfterAnswerOf(test.flowTarget));
  test.first.forwarder.ResendUnanswered(test.first.now);
  auto copy = test.opening;
  copy.acknowledgement = 1;
  test.second.Send(copy);
  cr_assert(test.second.sink.toTargets.empty());
}

Test(ContestedFlows, TableKeepsTheLatestFlowsAndTheFirstTarget)
{
  ContestedFlows flows;
  const auto flowOf = [](std::uint32_t aIp) {
    return ContestedFlow{
      { { aIp, 1 }, kOrdersAddress }, 7, 0, Clock::time_point(Milliseconds(aIp))
    };
  };
  auto flow = flowOf(1);
  cr_assert(flows.Record(flow));
  cr_assert(!flows.Record(flow));
  flow.target = 5;
  cr_assert(flows.Record(flow));
  flow.target = 6;
  cr_assert(!flows.Record(flow));
  cr_assert_eq(flows.Find(flow.id)->target, 5);
  flow.openingSequence = 8;
  cr_assert(flows.Record(flow));
  cr_assert_eq(flows.Find(flow.id)->target, 6);
  for (std::uint32_t ip = 2; ip < 20000; ++ip) {
    flows.Record(flowOf(ip));
  }
  cr_assert(flows.Find(flow.id) == nullptr);
  cr_assert(flows.Find(flowOf(19999).id) != nullptr);
  cr_assert_lt(flows.Size(), 10000);
  flows.Expire(Clock::time_point(Milliseconds(19999)));
  cr_assert_eq(flows.Size(), 1);
}

Test(ContestedFlows, MessageKeepsAllFields)
{
  const ContestedFlowsUpdate update{ { { 1, 2, 3, 4, 5, 6 } } };
  const auto unpacked =
    wire::UnpackBody<ContestedFlowsUpdate>(wire::PackBody(update));
  cr_assert(unpacked.has_value());
  const auto& record = unpacked->flows.at(0);
  cr_assert_eq(record.clientIp, 1);
  cr_assert_eq(record.clientPort, 2);
  cr_assert_eq(record.serviceIp, 3);
  cr_assert_eq(record.servicePort, 4);
  cr_assert_eq(record.openingSequence, 5);
  cr_assert_eq(record.target, 6);
}
