// What callers get on the heaviest seconds of the platform's days. Shares of
// requests in time are compared with those that the policy without the
// mechanism in question gets on the same load.

#include "unittests/Forward/LoadModel.h"

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

/// Four of fourteen targets fall silent at 45 % load for two seconds.
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
    cr_assert(least.inAim > random.inAim, "%zu, %zu", least.inAim,
              random.inAim);
    cr_assert(least.failed <= random.failed);
  }
}

/// All balancers are gone for 1.5 s; what pressed in meanwhile must not keep
/// the targets busy for long.
Test(LoadModel, LoadIsNormalSoonAfterAnOutage)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LoadOptions options;
    options.outage = Milliseconds(1500);
    options.length = Milliseconds(12000);
    options.seed = seed;
    const auto result = Play(options);
    // Requests of the outage and of the second after it may be late.
    const double spoiled = 2.5 / 12;
    cr_assert(result.InAim() > 1 - spoiled, "%f", result.InAim());
  }
}
