// Tests of targets that may have restarted while they were silent, in services
// that limit the requests to targets that are warming up.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Forward/SilentTargetProber.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

constexpr Milliseconds kWarmUp{ 2000 };
constexpr double kLimit = 5;

/// A balancer with two warm targets, both in another failure domain, where only
/// the balancers of that domain send requests to targets that warm up.
struct WarmTargets : TestForward
{
  explicit WarmTargets(double aLimit = kLimit)
    : state(routes, targets, metrics)
    , prober(context, routes, targets, metrics)
  {
    // Peers' updates are handled at the time of the clock.
    now = Clock::now();
    auto set = MakeRoutes(2);
    set.services.push_back(
      { "orders", "", 0, static_cast<std::uint32_t>(kWarmUp.count()), aLimit });
    StateReading reading;
    reading.revision = 6;
    reading.routes = set;
    for (const auto* id : { "a", "b" }) {
      reading.targets.push_back(MakeTarget(id, 5));
      reading.targets.back().failureDomain = "there";
    }
    state.ApplyReading(reading, true, false, now, now);
    targets.SetSuspicionListener(
      [this](const DirectoryEntry& aTarget, Clock::time_point aAsOf) {
        suspected.push_back(aTarget.record.id);
        neededAsOf = aAsOf;
      });
    forwarder.SetDomainBalancers({ "here", "a:1", { "a:1" }, 1 });
  }

  /// Opens and ends 40 flows one after the other, and returns how many of them
  /// aTarget got.
  auto FlowsTo(const std::string& aTarget) -> std::size_t
  {
    sink.toTargets.clear();
    for (int i = 0; i < 40; ++i) {
      Send(Opening(++port));
      if (!sink.toTargets.empty()) {
        auto ending =
          Following(Opening(port), sink.toTargets.back().packet.tag);
        ending.ends = true;
        Send(ending);
      }
    }
    return static_cast<std::size_t>(std::count_if(
      sink.toTargets.begin(), sink.toTargets.end(), [&](const auto& aSent) {
        return aSent.packet.opens && aSent.target == aTarget;
      }));
  }

  auto ReadStore(Clock::time_point aAsOf) -> void
  {
    StateReading reading;
    reading.revision = state.Revision();
    state.ApplyReading(reading, false, false, aAsOf, now);
  }

  auto ReportFromPeer(const std::string& aId, Milliseconds aSilence) -> void
  {
    prober.ApplyUpdate("peer",
                       { ComputeTag(aId, 1), false,
                         static_cast<std::uint32_t>(aSilence.count()) });
  }

  asio::io_context context{ 1 };
  RoutingState state;
  SilentTargetProber prober;
  std::vector<std::string> suspected;
  Clock::time_point neededAsOf{};
  std::uint16_t port = 100;
};

} // namespace

/// A failure domain lost power, and its targets came back cold under their ids.
/// Until the next reading of the store, a successful health check made them
/// count as warm, and they got most of the new flows.
Test(SuspectedRestart,
     TargetThatAnswersAfterASilenceIsLimitedUntilItIsConfirmed)
{
  WarmTargets test;
  cr_assert_gt(test.FlowsTo("a"), 0);
  test.AdvanceTime(Milliseconds(2000));
  MarkSilent(test.targets.Find("a")->stats, test.now - Milliseconds(1000));
  EndSilence(*test.targets.Find("a"), test.targets, test.routes, test.now);
  cr_assert_eq(test.FlowsTo("a"), 0);
  cr_assert_eq(test.suspected.size(), 1);
  // The write of its new entry may be later than the first answer.
  test.ReadStore(test.now);
  cr_assert_eq(test.FlowsTo("a"), 0);
  test.now = test.neededAsOf;
  test.ReadStore(test.now);
  cr_assert_gt(test.FlowsTo("a"), 0, "it came back warm");
}

/// The same for a target that a peer found to answer again.
Test(SuspectedRestart, PeersReportOfALongSilenceLimitsTheTarget)
{
  WarmTargets test;
  test.ReportFromPeer("a", Milliseconds(1000));
  cr_assert_eq(test.suspected.size(), 1);
  cr_assert_eq(test.FlowsTo("a"), 0);
  cr_assert_gt(test.FlowsTo("b"), 0);
}

/// The same for a target whose answer to a first packet ends the silence.
Test(SuspectedRestart, AnswerToAFirstPacketDoesNotShowThatTheTargetIsWarm)
{
  WarmTargets test;
  test.targets.Find("b")->record.state =
    static_cast<std::uint8_t>(TargetState::Draining);
  MarkSilent(test.targets.Find("a")->stats, test.now - Milliseconds(4500));
  test.Send(TestForward::Opening(1));
  cr_assert_eq(test.sink.toTargets.size(), 1);
  test.Send(TestForward::Following(TestForward::Opening(1),
                                   test.sink.toTargets[0].packet.tag));
  cr_assert_eq(test.suspected.size(), 1);
}

/// One lost packet of a running target must not limit it.
Test(SuspectedRestart, ShortSilenceAndEvidenceOfLifeRaiseNoSuspicion)
{
  WarmTargets test;
  MarkSilent(test.targets.Find("a")->stats, test.now - Milliseconds(20));
  EndSilence(*test.targets.Find("a"), test.targets, test.routes, test.now);
  cr_assert(test.suspected.empty());
  // A peer was cut off from a target that answered here meanwhile.
  test.targets.Find("a")->stats.answeredSendAt = test.now - Milliseconds(100);
  test.ReportFromPeer("a", Milliseconds(3000));
  cr_assert(test.suspected.empty());
  cr_assert_gt(test.FlowsTo("a"), 0);
}

/// Deployments without warm-up limits must not read the store more often.
Test(SuspectedRestart, ServiceWithoutWarmUpLimitIsNotAffected)
{
  WarmTargets test(0);
  test.ReportFromPeer("a", Milliseconds(1000));
  cr_assert(test.suspected.empty());
  cr_assert_gt(test.FlowsTo("a"), 0);
}

/// Clients must not be refused because of targets that may well be warm.
Test(SuspectedRestart, FlowsWaitIfAllTargetsAreSuspected)
{
  WarmTargets test;
  test.ReportFromPeer("a", Milliseconds(1000));
  test.ReportFromPeer("b", Milliseconds(1000));
  test.Send(TestForward::Opening(1));
  cr_assert(test.sink.toTargets.empty());
  cr_assert(test.sink.resets.empty());
  cr_assert_eq(test.forwarder.PendingFlowCount(), 1);
  test.now = test.neededAsOf;
  test.ReadStore(test.now);
  test.forwarder.RetryPendingFlows(test.now);
  cr_assert_eq(test.sink.toTargets.size(), 1);
}

/// Without the store, the target is warm after the time that a warm-up takes.
Test(SuspectedRestart, SuspicionEndsWithTheWarmUp)
{
  WarmTargets test;
  test.ReportFromPeer("a", Milliseconds(1000));
  test.AdvanceTime(kWarmUp + Milliseconds(100));
  cr_assert_gt(test.FlowsTo("a"), 0);
}

/// The record of the restart must not bring a second allowance.
Test(SuspectedRestart, RestartedTargetContinuesItsAllowance)
{
  WarmUpLimits limits({ 1.5, 5 });
  limits.SetBalancers({ "here", "a:1", { "a:1" }, 1 });
  const Clock::time_point now{ std::chrono::hours(1) };
  DirectoryEntry target;
  target.record = MakeTarget("a", 5);
  target.suspectedWarmUpEndsAt = now + kWarmUp;
  limits.MayOpenFlow(target, kLimit, now);
  const auto later = now + std::chrono::seconds(1);
  cr_assert(limits.MayOpenFlow(target, kLimit, later));
  limits.RecordRequest(target, kLimit, later);
  DirectoryEntry restarted;
  restarted.record = MakeTarget("a", 6, "orders", 2);
  restarted.tag = 7;
  restarted.warmUpEndsAt = later + kWarmUp;
  cr_assert(!limits.MayOpenFlow(restarted, kLimit, later + Milliseconds(190)));
  cr_assert(limits.MayOpenFlow(restarted, kLimit, later + Milliseconds(210)));
}

/// An update of a peer stated that its reading was as recent as the message.
Test(SuspectedRestart, UpdateForThePeersNamesTheAgeOfTheReading)
{
  WarmTargets test;
  StateReading reading;
  reading.revision = 7;
  const auto update = test.state.ApplyReading(
    reading, false, false, test.now - Milliseconds(300), test.now);
  cr_assert_eq(update.ageMs, 300);
}
