// Tests of the forwarding policy under simulated peak loads of the platform.
// The share of requests answered in time is compared with that of a policy
// without the mechanism under test on the same load.

#include "measure/ModelLoads.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static auto RunModel(LoadOptions aOptions) -> LoadResult
{
  return LoadModel(std::move(aOptions)).Run();
}

Test(LoadModel, NormalLoadIsAnsweredInTime)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.seed = seed;
    const auto result = RunModel(options);
    cr_assert(result.failed == 0);
    cr_assert(result.OnTimeFraction() > 0.99, "%f", result.OnTimeFraction());
  }
}

/// Four of fourteen targets stop answering for two seconds at 45 % load.
Test(LoadModel, SilentTargetsDelayFewRequests)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.silentTargets = 4;
    options.seed = seed;
    const auto withResending = RunModel(options);
    options.resendsUnanswered = false;
    const auto withoutResending = RunModel(options);
    cr_assert(withResending.OnTimeFraction() > 0.98, "%f",
              withResending.OnTimeFraction());
    cr_assert(withResending.requests - withResending.onTime <
                (withoutResending.requests - withoutResending.onTime) / 2,
              "%zu of %zu late or failed",
              withResending.requests - withResending.onTime,
              withoutResending.requests - withoutResending.onTime);
  }
}

/// A burst of 1.9 times the normal traffic, which uses 85 % of all slots.
Test(LoadModel, LeastWaitOutperformsRandomChoiceInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto leastWait = RunModel(options);
    options.choice = "random";
    const auto random = RunModel(options);
    cr_assert(leastWait.onTime > random.onTime, "%zu, %zu", leastWait.onTime,
              random.onTime);
    cr_assert(leastWait.failed <= random.failed);
  }
}

/// In the same burst, several balancers that each know only their own flows
/// perform about as well as a single balancer that knows all flows.
Test(LoadModel, SeveralBalancersMatchOneInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto severalBalancers = RunModel(options);
    options.balancers = 1;
    const auto oneBalancer = RunModel(options);
    cr_assert(severalBalancers.OnTimeFraction() >
                oneBalancer.OnTimeFraction() - 0.01,
              "%f, %f", severalBalancers.OnTimeFraction(),
              oneBalancer.OnTimeFraction());
  }
}

/// All balancers lose power for 1.8 s and return one after another, so flows
/// move between balancers several times. The backlog from the outage must not
/// delay new requests: three in four of those sent in the two seconds after the
/// return of the last balancer are answered in time.
Test(LoadModel, NewRequestsAreAnsweredInTimeSoonAfterPowerLoss)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    LoadOptions options;
    options.outage = Milliseconds(1800);
    options.length = Milliseconds(12000);
    options.seed = seed;
    // The last balancer starts 5.15 s into the run.
    const auto inTimeShare = RunModel(options).OnTimeFractionBetween(
      Milliseconds(5200), Milliseconds(7200));
    cr_assert(inTimeShare > 0.75, "%f at seed %zu", inTimeShare,
              std::size_t{ seed });
  }
}

static auto PersistentFlowOptions(std::uint64_t aSeed) -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.seed = aSeed;
  return options;
}

/// Idle open flows occupy no slots, so all users can open their flows within a
/// second without waiting.
Test(LoadModel, PersistentFlowsOpenAtOnceWithoutWaiting)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const auto result = RunModel(PersistentFlowOptions(seed));
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.99, "%f at seed %zu",
              result.OnTimeFraction(), std::size_t{ seed });
  }
}

/// If all users open their flows within half a second, their first requests use
/// 110 % of the slots. No requests fail, and balancers that each know only
/// their own flows serve them as well as a single one that knows all flows.
Test(LoadModel, PersistentFlowsOpenTogetherAsWithOneBalancer)
{
  constexpr std::uint64_t kSeeds = 8;
  double severalBalancers = 0;
  double oneBalancer = 0;
  double imbalance = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto options = PersistentFlowOptions(seed);
    options.usersStartPeriod = Milliseconds(500);
    const auto result = RunModel(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    severalBalancers += result.OnTimeFraction() / kSeeds;
    imbalance += result.Imbalance() / kSeeds;
    options.balancers = 1;
    oneBalancer += RunModel(options).OnTimeFraction() / kSeeds;
  }
  cr_assert(severalBalancers > oneBalancer - 0.002, "%f, %f", severalBalancers,
            oneBalancer);
  cr_assert(imbalance < 1.25, "%f", imbalance);
}

/// Requests and answers of distant clients are in transit for longer than they
/// are executed. Neither their first packets nor their requests may be mistaken
/// for a fault or for load of the targets.
Test(LoadModel, DistantClientsAreServedLikeNearOnes)
{
  const std::vector<std::pair<int, int>> delays{
    { 20, 20 }, { 40, 40 }, { 60, 60 }, { 1, 80 }
  };
  for (const auto& [nearest, farthest] : delays) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      auto options =
        DistantClientsLoad(Milliseconds(nearest), Milliseconds(farthest));
      options.seed = seed;
      const auto result = RunModel(options);
      cr_assert(result.failed == 0, "%zu", result.failed);
      cr_assert(result.OnTimeFraction() > 0.995, "%f at %d ms",
                result.OnTimeFraction(), farthest);
      cr_assert(result.falseSilences == 0, "%zu at %d ms", result.falseSilences,
                farthest);
    }
  }
}

/// A burst that uses 90 % of the slots, from clients 40 ms away.
Test(LoadModel, DistantClientsAreAnsweredInTimeInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = DistantClientsLoad(Milliseconds(40), Milliseconds(40));
    options.requestsPerSecond = 230;
    options.seed = seed;
    const auto result = RunModel(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.93, "%f at seed %zu",
              result.OnTimeFraction(), std::size_t{ seed });
  }
}

/// Calm loads of deployments with shorter and longer requests.
Test(LoadModel, RequestsOfAnyDurationAreAnsweredInTime)
{
  std::size_t playedLoads = 0;
  for (auto& [name, options] : UnlikeLoads()) {
    const std::string label(name);
    if (label == "long_requests" || label == "long_requests_restarts" ||
        label == "short_requests") {
      const auto result = RunModel(options);
      cr_assert(result.failed == 0, "%s: %zu", name, result.failed);
      cr_assert(result.OnTimeFraction() > 0.995, "%s: %f", name,
                result.OnTimeFraction());
      ++playedLoads;
    }
  }
  cr_assert_eq(playedLoads, 3);
}

/// Idle flows do not move to replacement targets on their own. The placement of
/// new flows has to balance the load again.
Test(LoadModel, PersistentFlowsSurviveReplacementOfTargets)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = PersistentFlowOptions(seed);
    options.replacedTargets = 6;
    const auto result = RunModel(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.985, "%f", result.OnTimeFraction());
  }
}

/// Each restart of a balancer moves nearly all flows twice, to balancers that
/// have no state for them.
Test(LoadModel, PersistentFlowsSurviveRollingRestart)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = PersistentFlowOptions(seed);
    options.rollingRestart = true;
    options.length = Milliseconds(14000);
    const auto result = RunModel(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.985, "%f", result.OnTimeFraction());
  }
}

/// A burst of requests in separate flows raises the load to 90 % of the slots.
Test(LoadModel, PersistentFlowsAreAnsweredInTimeInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = PersistentFlowOptions(seed);
    options.requestsPerSecond = 230;
    const auto result = RunModel(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.93, "%f", result.OnTimeFraction());
  }
}

/// All balancers lose power for 1.4 s. The targets keep their open flows, whose
/// delayed requests arrive together with new ones.
Test(LoadModel, PersistentFlowsRecoverSoonAfterPowerLoss)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto options = PersistentFlowOptions(seed);
    options.outage = Milliseconds(1400);
    options.length = Milliseconds(12000);
    const auto result = RunModel(options);
    const auto inTimeShare =
      result.OnTimeFractionBetween(Milliseconds(5500), Milliseconds(7500));
    cr_assert(inTimeShare > 0.9, "%f at seed %zu", inTimeShare,
              std::size_t{ seed });
    cr_assert(result.failed < result.requests / 200, "%zu", result.failed);
  }
}
