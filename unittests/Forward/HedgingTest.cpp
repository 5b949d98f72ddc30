// Tests of first packets that are also sent to a second target.

#include "measure/LoadModel.h"
#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static constexpr Address kSearchAddress{ 0xc6120003, 443 };
static constexpr Milliseconds kRoundTrip{ 6 };

/// After this time, a client with the round trip kRoundTrip has usually
/// reacted, and its reaction is not overdue yet.
static constexpr Milliseconds kHedgeTime{ 30 };

/// A forwarder with an additional idempotent route "search".
struct TestHedging : TestForward
{
  explicit TestHedging(std::uint32_t aPercent)
    : TestForward(true, aPercent)
  {
    auto set = MakeRoutes(2);
    set.routes.push_back({ "search",
                           kSearchAddress.ip,
                           kSearchAddress.port,
                           { { "search", 1 } },
                           static_cast<std::uint8_t>(RequestKind::Idempotent),
                           1,
                           2000 });
    routes.Install(set, now);
  }

  auto AddTargets(const std::string& aService,
                  const std::vector<std::string>& aIds) -> void
  {
    for (const auto& id : aIds) {
      targets.Apply(MakeTarget(id, 5, aService), now);
    }
  }

  /// Opens and ends flows whose client reacts after kRoundTrip.
  auto OpenPromptFlows(std::size_t aCount, const Address& aService) -> void
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto opening =
        Opening(static_cast<std::uint16_t>(50000 + i), aService);
      Send(opening);
      AdvanceTime(kRoundTrip);
      auto ending = Following(opening, sink.toTargets.back().packet.tag);
      ending.ends = true;
      Send(ending);
      AdvanceTime(Milliseconds(1));
    }
    sink.toTargets.clear();
  }

  /// Advances the time by aTime in which no client reacts.
  auto Wait(Milliseconds aTime) -> void
  {
    AdvanceTime(aTime);
    forwarder.ResendUnanswered(now);
  }

  /// Sends a first packet that no target answers at once, and returns the
  /// number of targets that have it after kHedgeTime.
  auto TargetsOfSlowFlow(std::uint16_t aPort, const Address& aService)
    -> std::size_t
  {
    sink.toTargets.clear();
    Send(Opening(aPort, aService));
    Wait(kHedgeTime);
    return sink.toTargets.size();
  }
};

/// Guards against hedges in deployments that do not ask for them.
Test(Hedging, OffByDefault)
{
  cr_assert_eq(ForwarderOptions{}.hedgePercent, 0);
  TestHedging test(0);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  cr_assert_eq(test.TargetsOfSlowFlow(1, kSearchAddress), 1);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
  cr_assert_eq(test.metrics.Get(Counter::HedgeBudgetEmpty), 0);
}

/// Guards against a forwarder that sends more hedges than its budget.
Test(Hedging, ForwarderKeepsTheBudgetOverManyFlows)
{
  constexpr std::uint32_t kPercent = 10;
  constexpr std::uint64_t kFlows = 1000;
  TestHedging test(kPercent);
  test.AddTargets("search", { "a", "b", "c", "d" });
  test.OpenPromptFlows(1, kSearchAddress);
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto opening = TestForward::Opening(port, kSearchAddress);
    test.Send(opening);
    test.Wait(kHedgeTime);
    // The copy keeps the reaction from changing the client's round trip.
    auto copy = opening;
    copy.acknowledgement = 1;
    test.Send(copy);
    auto ending =
      TestForward::Following(opening, test.sink.toTargets.back().packet.tag);
    ending.ends = true;
    test.Send(ending);
  }
  const auto hedged = test.metrics.Get(Counter::FlowsHedged);
  cr_assert_leq(hedged * 100, (kFlows + 1) * kPercent);
  cr_assert_geq(hedged, kFlows * kPercent / 100 - 1);
  cr_assert_eq(hedged + test.metrics.Get(Counter::HedgeBudgetEmpty), kFlows);
}

/// Guards against running a request twice that must run at most once.
Test(Hedging, AtMostOnceRoutesAreNeverHedged)
{
  TestHedging test(100);
  test.AddTargets("orders", { "a", "b" });
  test.AddTargets("search", { "c", "d" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.OpenPromptFlows(20, kOrdersAddress);
  cr_assert_eq(test.TargetsOfSlowFlow(1, kOrdersAddress), 1);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against a budget that grows with first packets that may not be
/// hedged.
Test(Hedging, AtMostOnceRoutesAddNothingToTheBudget)
{
  TestHedging test(10);
  test.AddTargets("orders", { "a", "b" });
  test.AddTargets("search", { "c", "d" });
  test.OpenPromptFlows(100, kOrdersAddress);
  cr_assert_eq(test.TargetsOfSlowFlow(1, kSearchAddress), 1);
  cr_assert_eq(test.metrics.Get(Counter::HedgeBudgetEmpty), 1);
}

/// Guards against a kind that is left out although its requests may be
/// repeated.
Test(Hedging, IdempotentRoutesAndDownloadsAreHedged)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.AddTargets("proofs", { "c", "d" });
  test.OpenPromptFlows(20, kSearchAddress);
  cr_assert_eq(test.TargetsOfSlowFlow(1, kSearchAddress), 2);
  cr_assert_eq(test.TargetsOfSlowFlow(2, kProofsAddress), 2);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 2);
}

/// Guards against hedges of flows that are answered as fast as usual.
Test(Hedging, NoHedgeWithinTheUsualReactionTime)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.Send(TestForward::Opening(1, kSearchAddress));
  test.Wait(kRoundTrip + Milliseconds(1));
  cr_assert_eq(test.sink.toTargets.size(), 1);
}

/// Guards against hedges of clients whose round trip is not known.
Test(Hedging, NoHedgeBeforeRoundTripsAreKnown)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  cr_assert_eq(test.TargetsOfSlowFlow(1, kSearchAddress), 1);
  test.Wait(Milliseconds(200));
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against a hedge that the client cannot use, and against counting one
/// flow at two targets.
Test(Hedging, ReactionToTheHedgeAssignsTheFlow)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  const auto opening = TestForward::Opening(1, kSearchAddress);
  test.Send(opening);
  test.Wait(kHedgeTime);
  cr_assert_eq(test.sink.toTargets.size(), 2);
  const auto first = test.sink.toTargets[0];
  const auto second = test.sink.toTargets[1];
  cr_assert(first.target != second.target);
  cr_assert(second.packet.opens);
  cr_assert_eq(second.packet.tag,
               OpeningTag(ComputeTag(second.target, 1), opening.sequence));
  const auto& firstStats = test.targets.Find(first.target)->stats;
  const auto& secondStats = test.targets.Find(second.target)->stats;
  cr_assert_eq(firstStats.inFlight, 1);
  cr_assert_eq(secondStats.inFlight, 0);
  cr_assert_eq(secondStats.openFlows, 0);
  auto request = TestForward::Following(opening, second.packet.tag);
  request.carriesData = true;
  test.Send(request);
  cr_assert(test.sink.toTargets.back().target == second.target);
  cr_assert_eq(test.metrics.Get(Counter::HedgesWon), 1);
  cr_assert_eq(firstStats.inFlight, 0);
  cr_assert_eq(firstStats.openFlows, 0);
  cr_assert_eq(secondStats.inFlight, 1);
  cr_assert_eq(secondStats.openFlows, 1);
  cr_assert_eq(test.metrics.Get(Counter::FlowsOpened), 21);
}

/// Guards against hedges that are counted as won although the first target was
/// faster.
Test(Hedging, HedgeIsNotWonIfTheFirstTargetIsFaster)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  const auto opening = TestForward::Opening(1, kSearchAddress);
  test.Send(opening);
  test.Wait(kHedgeTime);
  const auto first = test.sink.toTargets[0];
  test.Send(TestForward::Following(opening, first.packet.tag));
  cr_assert(test.sink.toTargets.back().target == first.target);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 1);
  cr_assert_eq(test.metrics.Get(Counter::HedgesWon), 0);
}

/// Guards against a flow that changes its target, or is reset, when the slower
/// target answers too.
static auto CheckLateAnswer(bool aHedgeWins) -> void
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  const auto opening = TestForward::Opening(1, kSearchAddress);
  test.Send(opening);
  test.Wait(kHedgeTime);
  const auto faster = test.sink.toTargets[aHedgeWins ? 1 : 0];
  const auto slower = test.sink.toTargets[aHedgeWins ? 0 : 1];
  auto request = TestForward::Following(opening, faster.packet.tag);
  request.carriesData = true;
  test.Send(request);
  for (std::uint32_t i = 1; i <= 3; ++i) {
    test.AdvanceTime(Milliseconds(700));
    auto next = TestForward::Following(opening, slower.packet.tag, 500 + i);
    next.sequence += 100 * i;
    next.carriesData = true;
    test.Send(next);
    test.forwarder.ResendUnanswered(test.now);
    cr_assert(test.sink.toTargets.back().target == faster.target);
    cr_assert_eq(test.sink.toTargets.back().packet.tag,
                 ComputeTag(faster.target, 1));
  }
  cr_assert(test.sink.resets.empty());
  cr_assert_eq(test.sink.toTargets.size(), 6, "nothing is resent or hedged");
}

Test(Hedging, LateAnswerOfTheFirstTargetDoesNotMoveTheFlow)
{
  CheckLateAnswer(true);
}

Test(Hedging, LateAnswerOfTheHedgeDoesNotMoveTheFlow)
{
  CheckLateAnswer(false);
}

/// Guards against later requests that another balancer sends to the target
/// whose answer came last.
Test(Hedging, LateAnswerDoesNotMoveTheFlowAtAnotherBalancer)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  const auto opening = TestForward::Opening(1, kSearchAddress);
  test.Send(opening);
  test.Wait(kHedgeTime);
  TestHedging other(100);
  other.AddTargets("search", { "a", "b" });
  auto request =
    TestForward::Following(opening, test.sink.toTargets[0].packet.tag);
  request.sequence += 300;
  request.carriesData = true;
  other.Send(request);
  cr_assert(other.sink.toTargets.empty());
  cr_assert(other.sink.resets.empty());
}

/// Guards against hedges that compete with first packets for too few slots.
Test(Hedging, NoHedgeIfTheOtherTargetHasNoFreeSlot)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  for (std::uint16_t port = 1; port <= 4; ++port) {
    test.Send(TestForward::Opening(port, kSearchAddress));
  }
  for (const auto* id : { "a", "b" }) {
    auto& stats = test.targets.Find(id)->stats;
    cr_assert_eq(stats.inFlight, 2);
    // All slots are in use, as with requests that take long.
    stats.busyLoad = 2;
  }
  test.Wait(kHedgeTime);
  cr_assert_eq(test.sink.toTargets.size(), 4);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against hedges while first packets of the service are queued.
Test(Hedging, NoHedgeWhileFirstPacketsAreQueued)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.Send(TestForward::Opening(1, kSearchAddress));
  for (const auto* id : { "a", "b" }) {
    test.targets.Find(id)->stats.busyLoad += 4;
  }
  test.Send(TestForward::Opening(2, kSearchAddress));
  cr_assert_eq(test.forwarder.PendingFlowCount(), 1);
  for (const auto* id : { "a", "b" }) {
    test.targets.Find(id)->stats.busyLoad -= 4;
  }
  test.Wait(kHedgeTime);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against a second copy at the only target.
Test(Hedging, NoHedgeWithASingleTarget)
{
  TestHedging test(100);
  test.AddTargets("search", { "a" });
  test.OpenPromptFlows(20, kSearchAddress);
  cr_assert_eq(test.TargetsOfSlowFlow(1, kSearchAddress), 1);
}

/// Guards against hedges of flows that other balancers may have opened or
/// answered meanwhile.
Test(Hedging, NoHedgeWhileFlowsMove)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.Send(TestForward::Opening(1, kSearchAddress));
  test.AdvanceTime(Milliseconds(2));
  test.Send(TestForward::Following(TestForward::Opening(2, kSearchAddress),
                                   ComputeTag("a", 1)));
  cr_assert_eq(test.metrics.Get(Counter::FlowTakenOver), 1);
  test.Wait(kHedgeTime);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

Test(Hedging, NoHedgeAfterAPause)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.Send(TestForward::Opening(1, kSearchAddress));
  test.AdvanceTime(Milliseconds(20));
  test.forwarder.OnPause(Milliseconds(20), test.now);
  test.Wait(Milliseconds(10));
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against a hedge of a first packet that already went to two targets,
/// and against two hedges of one flow.
Test(Hedging, FlowIsHedgedOnceAndNotAfterItWasResent)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b", "c" });
  test.OpenPromptFlows(20, kSearchAddress);
  test.Send(TestForward::Opening(1, kSearchAddress));
  // Both the usual reaction time and the timeout have passed.
  test.Wait(Milliseconds(70));
  cr_assert_eq(test.metrics.Get(Counter::FlowRepeated), 1);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
  cr_assert_eq(test.TargetsOfSlowFlow(2, kSearchAddress), 2);
  auto copy = TestForward::Opening(2, kSearchAddress);
  copy.acknowledgement = 1;
  test.Send(copy);
  test.Wait(kHedgeTime);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 1);
}

/// Guards against a third copy of a first packet that was repeated to the same
/// target, by the client or by the balancer.
Test(Hedging, NoHedgeAfterACopyToTheSameTarget)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  auto copy = TestForward::Opening(1, kSearchAddress);
  test.Send(copy);
  test.AdvanceTime(Milliseconds(5));
  copy.acknowledgement = 1;
  test.Send(copy);
  test.Wait(kHedgeTime);
  cr_assert_eq(test.sink.toTargets.size(), 2);
  test.sink.toTargets.clear();
  test.Send(TestForward::Opening(2, kSearchAddress));
  const auto first = test.sink.toTargets[0].target;
  test.AdvanceTime(Milliseconds(10));
  // The target answers another flow.
  test.targets.Find(first)->stats.lastResponseAt = test.now;
  test.Wait(Milliseconds(60));
  cr_assert(test.sink.toTargets.back().target == first);
  cr_assert_eq(test.metrics.Get(Counter::FlowsHedged), 0);
}

/// Guards against round trips that are measured from the wrong one of two
/// packets.
Test(Hedging, HedgedFlowGivesNoRoundTripSample)
{
  TestHedging test(100);
  test.AddTargets("search", { "a", "b" });
  test.OpenPromptFlows(20, kSearchAddress);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    const auto opening = TestForward::Opening(port, kSearchAddress);
    cr_assert_eq(test.TargetsOfSlowFlow(port, kSearchAddress), 2);
    auto ending =
      TestForward::Following(opening, test.sink.toTargets[0].packet.tag);
    ending.ends = true;
    test.Send(ending);
  }
}

/// One of fourteen targets answers first packets 300 ms late, and requests are
/// short, so that the opening of the flow decides how long the slowest ones
/// take. Guards against hedging without an effect on the slowest answers, and
/// against more first packets than the setting allows.
Test(Hedging, ShortensTheSlowestAnswersWithinTheBudget)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.meanWorkMs = 8;
    options.lateTargets = 1;
    options.lateOpeningDelay = Milliseconds(300);
    options.length = Milliseconds(20000);
    options.seed = seed;
    const auto without = LoadModel(options).Run();
    options.hedgePercent = 10;
    const auto with = LoadModel(options).Run();
    for (const double fraction : { 0.95, 0.99 }) {
      cr_assert_lt(with.AnswerTimeQuantile(fraction).count(),
                   without.AnswerTimeQuantile(fraction).count());
    }
    cr_assert_eq(without.flowsHedged, 0);
    cr_assert_leq(with.flowsHedged * 100,
                  with.flowsOpened * options.hedgePercent);
    const auto packetsPerFlow = [](const LoadResult& aResult) {
      return static_cast<double>(aResult.firstPackets) /
             static_cast<double>(aResult.flowsOpened);
    };
    cr_assert_leq(packetsPerFlow(with),
                  packetsPerFlow(without) + options.hedgePercent / 100.0);
  }
}

/// Guards against hedges that add load when there is none to spare: at 1.9
/// times the usual load, as many requests are answered in time as without.
Test(Hedging, CostsNothingInABurst)
{
  std::size_t without = 0;
  std::size_t with = 0;
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    without += LoadModel(options).Run().onTime;
    options.hedgePercent = 10;
    const auto result = LoadModel(options).Run();
    with += result.onTime;
    requests += result.requests;
  }
  cr_assert_gt(static_cast<double>(with),
               static_cast<double>(without) -
                 0.01 * static_cast<double>(requests),
               "%zu and %zu of %zu", with, without, requests);
}
