// Tests of the forwarding policy under simulated peak loads of the platform.
// The share of requests answered in time is compared with that of a policy
// without the mechanism under test on the same load.

#include "measure/LoadModel.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static auto Play(LoadOptions aOptions) -> LoadResult
{
  return LoadModel(std::move(aOptions)).Run();
}

Test(LoadModel, CalmLoadIsInTime)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.seed = seed;
    const auto result = Play(options);
    cr_assert(result.failed == 0);
    cr_assert(result.InAim() > 0.99, "%f", result.InAim());
  }
}

/// Four of fourteen targets stop answering for two seconds at 45 % load.
Test(LoadModel, SilentTargetsCostLittle)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.silentTargets = 4;
    options.seed = seed;
    const auto with = Play(options);
    options.repeats = false;
    const auto without = Play(options);
    cr_assert(with.InAim() > 0.98, "%f", with.InAim());
    cr_assert(with.asked - with.inAim < (without.asked - without.inAim) / 2,
              "%zu of %zu late or failed", with.asked - with.inAim,
              without.asked - without.inAim);
  }
}

/// A burst of 1.9 times the normal traffic, which uses 85 % of all slots.
Test(LoadModel, LeastWaitBeatsRandomChoiceInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto least = Play(options);
    options.choice = "random";
    const auto random = Play(options);
    cr_assert(least.inAim > random.inAim, "%zu, %zu", least.inAim,
              random.inAim);
    cr_assert(least.failed <= random.failed);
  }
}

/// In the same burst, several balancers that each know only their own flows
/// perform about as well as a single balancer that knows all flows.
Test(LoadModel, ABurstLosesLittleForWantOfKnowledge)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto several = Play(options);
    options.balancers = 1;
    const auto one = Play(options);
    cr_assert(several.InAim() > one.InAim() - 0.01, "%f, %f", several.InAim(),
              one.InAim());
  }
}

/// All balancers lose power for 1.8 s and return one after another, so flows
/// move between balancers several times. The backlog from the outage must not
/// delay new requests: three in four of those sent in the two seconds after the
/// return of the last balancer are answered in time.
Test(LoadModel, NewRequestsAreInTimeSoonAfterALossOfPower)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    LoadOptions options;
    options.outage = Milliseconds(1800);
    options.length = Milliseconds(12000);
    options.seed = seed;
    // The last balancer starts 5.15 s into the run.
    const auto back =
      Play(options).InAimBetween(Milliseconds(5200), Milliseconds(7200));
    cr_assert(back > 0.75, "%f at seed %zu", back, std::size_t{ seed });
  }
}

/// Load of a day with persistent flows, which uses 60 % of the slots: 240 users
/// who pause for one second between requests of 55 ms, and 80 requests per
/// second in separate flows.
static auto KeptFlows(std::uint64_t aSeed) -> LoadOptions
{
  LoadOptions options;
  options.users = 240;
  options.requestsPerSecond = 80;
  options.meanWorkMs = 55;
  options.aim = Milliseconds(250);
  options.deadline = Milliseconds(4000);
  options.seed = aSeed;
  return options;
}

/// Idle open flows occupy no slots, so all users can open their flows within
/// half a second without waiting.
Test(LoadModel, KeptFlowsOpenAtOnceWithoutWaiting)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.usersBegin = Milliseconds(500);
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.InAim() > 0.99, "%f at seed %zu", result.InAim(),
              std::size_t{ seed });
    cr_assert(result.Imbalance() < 1.25, "%f", result.Imbalance());
  }
}

/// Idle flows do not move to replacement targets on their own. The placement of
/// new flows has to balance the load again.
Test(LoadModel, KeptFlowsSurviveARelease)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.replacedTargets = 6;
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.InAim() > 0.985, "%f", result.InAim());
  }
}

/// Each restart of a balancer moves nearly all flows twice, to balancers that
/// have no state for them.
Test(LoadModel, KeptFlowsSurviveARollingRestart)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.rollingRestart = true;
    options.length = Milliseconds(14000);
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.InAim() > 0.985, "%f", result.InAim());
  }
}

/// A burst of requests in separate flows raises the load to 90 % of the slots.
Test(LoadModel, KeptFlowsKeepTheirTimeInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.requestsPerSecond = 230;
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.InAim() > 0.93, "%f", result.InAim());
  }
}

/// All balancers lose power for 1.4 s. The targets keep their open flows, whose
/// delayed requests arrive together with new ones.
Test(LoadModel, KeptFlowsAreInTimeSoonAfterALossOfPower)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto options = KeptFlows(seed);
    options.outage = Milliseconds(1400);
    options.length = Milliseconds(12000);
    const auto result = Play(options);
    const auto back =
      result.InAimBetween(Milliseconds(5500), Milliseconds(7500));
    cr_assert(back > 0.9, "%f at seed %zu", back, std::size_t{ seed });
    cr_assert(result.failed < result.asked / 200, "%zu", result.failed);
  }
}
