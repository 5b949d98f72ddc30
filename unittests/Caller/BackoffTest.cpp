// Tests the delays and the limits of retries after a refusal.

#include "bramleylock/Caller/Backoff.h"

#include <criterion/criterion.h>

#include <set>

using namespace bramleylock::caller;
using bramleylock::wire::Reason;

static auto Refused(std::uint32_t aRetryAfterMs) -> CallResult
{
  CallResult result;
  result.outcome = CallOutcome::NotRun;
  result.reason = Reason::QueueFull;
  result.retryAfterMs = aRetryAfterMs;
  return result;
}

Test(Backoff, NeverSoonerThanTheRefusalAsks)
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    Backoff backoff({}, seed);
    cr_assert_geq(backoff.Next(Refused(800))->count(), 800);
  }
}

Test(Backoff, CallersRefusedTogetherComeBackApart)
{
  std::set<std::int64_t> pauses;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    pauses.insert(Backoff({}, seed).Next(Refused(800))->count());
  }
  cr_assert_gt(pauses.size(), 25);
}

Test(Backoff, GivesUpWhatMayHaveRun)
{
  auto result = Refused(100);
  result.outcome = CallOutcome::Unknown;
  cr_assert(!Backoff({}, 1).Next(result));
}

Test(Backoff, GivesUpWhatIsRefusedForEver)
{
  auto result = Refused(0);
  result.reason = Reason::Credential;
  cr_assert(!Backoff({}, 1).Next(result));
}

Test(Backoff, GivesUpAfterItsRetries)
{
  Backoff backoff({}, 1);
  for (int i = 0; i < 4; ++i) {
    cr_assert(backoff.Next(Refused(100)).has_value());
  }
  cr_assert(!backoff.Next(Refused(100)));
}
