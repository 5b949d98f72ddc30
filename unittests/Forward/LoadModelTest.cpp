// What callers get on the heaviest seconds of the platform's days. Shares of
// requests in time are compared with those that the policy without the
// mechanism in question gets on the same load.

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
    cr_assert(result.OnTimeFraction() > 0.99, "%f", result.OnTimeFraction());
  }
}

/// Four of fourteen targets fall silent at 45 % load for two seconds.
Test(LoadModel, SilentTargetsCostLittle)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.silentTargets = 4;
    options.seed = seed;
    const auto with = Play(options);
    options.retransmits = false;
    const auto without = Play(options);
    cr_assert(with.OnTimeFraction() > 0.98, "%f", with.OnTimeFraction());
    cr_assert(with.requests - with.onTime <
                (without.requests - without.onTime) / 2,
              "%zu of %zu late or failed", with.requests - with.onTime,
              without.requests - without.onTime);
  }
}

/// A burst of 1.9 times the usual traffic: 85 % of all slots.
Test(LoadModel, LeastWaitBeatsRandomChoiceInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto least = Play(options);
    options.choice = "random";
    const auto random = Play(options);
    cr_assert(least.onTime > random.onTime, "%zu, %zu", least.onTime,
              random.onTime);
    cr_assert(least.failed <= random.failed);
  }
}

/// The same burst: several balancers that know only their own flows do about as
/// well as one that knows all.
Test(LoadModel, ABurstLosesLittleForWantOfKnowledge)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.requestsPerSecond = 740;
    options.seed = seed;
    const auto several = Play(options);
    options.balancers = 1;
    const auto one = Play(options);
    cr_assert(several.OnTimeFraction() > one.OnTimeFraction() - 0.01, "%f, %f",
              several.OnTimeFraction(), one.OnTimeFraction());
  }
}

/// All balancers lose power for 1.8 s and come back one after the other, so
/// that the flows move between them several times. What pressed in meanwhile
/// must not keep new requests waiting: three in four of those asked in the two
/// seconds after all are back are in time.
Test(LoadModel, NewRequestsAreInTimeSoonAfterALossOfPower)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    LoadOptions options;
    options.outage = Milliseconds(1800);
    options.length = Milliseconds(12000);
    options.seed = seed;
    // The last one starts 5.15 s after the start.
    const auto back = Play(options).OnTimeFractionBetween(Milliseconds(5200),
                                                          Milliseconds(7200));
    cr_assert(back > 0.75, "%f at seed %zu", back, std::size_t{ seed });
  }
}

/// The users of a day with kept flows, at 60 % of the slots: 240 who pause for
/// a second between requests of 55 ms, and 80 requests a second in flows of
/// their own.
static auto KeptFlows(std::uint64_t aSeed) -> LoadOptions
{
  LoadOptions options;
  options.users = 240;
  options.requestsPerSecond = 80;
  options.meanWorkMs = 55;
  options.onTimeLimit = Milliseconds(250);
  options.deadline = Milliseconds(4000);
  options.seed = aSeed;
  return options;
}

/// A flow that is open but idle takes no slot: all open theirs within half a
/// second, and nobody waits for it.
Test(LoadModel, KeptFlowsOpenAtOnceWithoutWaiting)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.usersStartPeriod = Milliseconds(500);
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.99, "%f at seed %zu",
              result.OnTimeFraction(), std::size_t{ seed });
    cr_assert(result.Imbalance() < 1.25, "%f", result.Imbalance());
  }
}

/// Idle flows do not move to the targets that replace others by themselves; new
/// ones even that out.
Test(LoadModel, KeptFlowsSurviveARelease)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.replacedTargets = 6;
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.985, "%f", result.OnTimeFraction());
  }
}

/// Nearly all flows move to balancers that never saw them, twice for each one
/// that restarts.
Test(LoadModel, KeptFlowsSurviveARollingRestart)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.rollingRestart = true;
    options.length = Milliseconds(14000);
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.985, "%f", result.OnTimeFraction());
  }
}

/// Requests in flows of their own flood in on top, to 90 % of the slots.
Test(LoadModel, KeptFlowsKeepTheirTimeInABurst)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = KeptFlows(seed);
    options.requestsPerSecond = 230;
    const auto result = Play(options);
    cr_assert(result.failed == 0, "%zu", result.failed);
    cr_assert(result.OnTimeFraction() > 0.93, "%f", result.OnTimeFraction());
  }
}

/// All balancers lose power for 1.4 s. The targets keep the open flows, whose
/// requests press in together with new ones.
Test(LoadModel, KeptFlowsAreInTimeSoonAfterALossOfPower)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto options = KeptFlows(seed);
    options.outage = Milliseconds(1400);
    options.length = Milliseconds(12000);
    const auto result = Play(options);
    const auto back =
      result.OnTimeFractionBetween(Milliseconds(5500), Milliseconds(7500));
    cr_assert(back > 0.9, "%f at seed %zu", back, std::size_t{ seed });
    cr_assert(result.failed < result.requests / 200, "%zu", result.failed);
  }
}
