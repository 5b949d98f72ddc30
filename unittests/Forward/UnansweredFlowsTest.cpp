// Tests of first packets that are not answered in time, and of what they show
// about their targets.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

Test(Forwarder, CopyIsSentToTheSameTarget)
{
  TestForward test;
  for (const auto* id : { "a", "b", "c", "d" }) {
    test.targets.Apply(MakeTarget(id, 5), test.now);
  }
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.targets.Find(first)->stats.lastResponseAt = test.now + Milliseconds(10);
  test.AdvanceTime(Milliseconds(200));
  auto copy = TestForward::Opening(1);
  copy.acknowledgement = 1;
  test.Send(copy);
  cr_assert(test.sink.toTargets.back().target == first);
}

Test(Forwarder, FlowOfSilentTargetMovesBeforeClientRetransmits)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  std::vector<std::string> silent;
  test.forwarder.SetSilentTargetListener([&silent](DirectoryEntry& aTarget) {
    silent.push_back(aTarget.record.id);
  });
  test.LearnRoundTrip(Milliseconds(6));
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.AdvanceTime(Milliseconds(61));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2);
  cr_assert(test.sink.toTargets[1].target != first);
  cr_assert(silent == std::vector<std::string>{ first });
  // New flows avoid the silent target.
  for (std::uint16_t port = 2; port <= 4; ++port) {
    test.Send(TestForward::Opening(port));
    cr_assert(test.sink.toTargets.back().target != first);
  }
}

/// The client is 80 ms away, so its reaction takes longer than that of a near
/// client to a target that does not respond.
Test(Forwarder, TargetOfADistantClientIsNotTakenForSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  test.LearnRoundTrip(Milliseconds(160));
  test.Send(TestForward::Opening(1));
  test.AdvanceTime(Milliseconds(170));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 1);
  const auto& target = *test.targets.Find(test.sink.toTargets[0].target);
  cr_assert(target.stats.silentSince == Clock::time_point{});
  // Nothing has shown yet how much the round trips vary.
  test.AdvanceTime(Milliseconds(400));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(target.stats.silentSince == test.now);
}

/// Before the first round trip of any client, a target is not judged earlier
/// than a client sends its next copy.
Test(Forwarder, NoTargetIsTakenForSilentBeforeRoundTripsAreKnown)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.Send(TestForward::Opening(1));
  test.AdvanceTime(Milliseconds(199));
  test.forwarder.ResendUnanswered(test.now);
  const auto& stats = test.targets.Find("a")->stats;
  cr_assert(stats.silentSince == Clock::time_point{});
  test.AdvanceTime(Milliseconds(2));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(stats.silentSince == test.now);
}

Test(Forwarder, LostFirstPacketIsResentToTargetThatAnswersOthers)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  test.LearnRoundTrip(Milliseconds(6));
  test.Send(TestForward::Opening(1));
  const auto first = test.sink.toTargets[0].target;
  test.AdvanceTime(Milliseconds(20));
  test.targets.Find(first)->stats.lastResponseAt = test.now;
  test.AdvanceTime(Milliseconds(41));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2);
  cr_assert(test.sink.toTargets[1].target == first);
}

Test(Forwarder, LateAnswerOfTheFirstTargetDoesNotMoveAnOpenFlow)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 5), test.now);
  test.LearnRoundTrip(Milliseconds(6));
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  test.AdvanceTime(Milliseconds(61));
  test.forwarder.ResendUnanswered(test.now);
  const auto first = test.sink.toTargets[0].target;
  const auto second = test.sink.toTargets[1].target;
  test.Send(TestForward::Following(opening, ComputeTag(second, 1)));
  cr_assert(test.sink.toTargets.back().target == second);
  // The first target answers late, so the client sends its tag from now on.
  test.Send(TestForward::Following(opening, ComputeTag(first, 1), 900));
  cr_assert(test.sink.toTargets.back().target == second);
  cr_assert(test.sink.toTargets.back().packet.tag == ComputeTag(second, 1));
}

Test(Forwarder, RetransmissionsDoNotCountAsTargetResponses)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  const auto opening = TestForward::Opening(1);
  test.Send(opening);
  test.Send(TestForward::Following(opening, ComputeTag("a", 1)));
  const auto answered = test.targets.Find("a")->stats.lastResponseAt;
  cr_assert(answered == test.now);
  test.AdvanceTime(Milliseconds(200));
  test.Send(TestForward::Following(opening, ComputeTag("a", 1)));
  cr_assert(test.targets.Find("a")->stats.lastResponseAt == answered);
  test.Send(TestForward::Following(opening, ComputeTag("a", 1), 501));
  cr_assert(test.targets.Find("a")->stats.lastResponseAt == test.now);
}

/// The platform now hashes flows over a different set of balancers. Flows that
/// were opened here continue at other balancers and vice versa, so missing
/// packets do not mean that the target is silent.
Test(Forwarder, MovedFlowDoesNotMarkTargetSilent)
{
  TestForward test;
  test.targets.Apply(MakeTarget("a", 5), test.now);
  test.targets.Apply(MakeTarget("b", 6), test.now);
  test.LearnRoundTrip(Milliseconds(6));
  test.Send(TestForward::Opening(1));
  const auto& target = *test.targets.Find(test.sink.toTargets[0].target);
  test.AdvanceTime(Milliseconds(20));
  test.SendRequestOfForeignFlow(2);
  cr_assert(test.metrics.Get(Counter::FlowTakenOver) == 1);
  cr_assert(test.forwarder.Flows().Size() == 3, "with the one that ended");
  test.AdvanceTime(Milliseconds(60));
  test.forwarder.ResendUnanswered(test.now);
  cr_assert(test.sink.toTargets.size() == 2, "no opening packet is resent");
  cr_assert(target.stats.silentSince == Clock::time_point{});
}
