// Tests the delays and the limits of retries after a refusal.

#include "bramleylock/Caller/Backoff.h"

#include <criterion/criterion.h>

#include <set>

using namespace bramleylock::caller;
using bramleylock::wire::Reason;

static auto MakeRefusal(std::uint32_t aRetryAfterMs) -> CallResult
{
  CallResult result;
  result.outcome = CallOutcome::NotRun;
  result.reason = Reason::QueueFull;
  result.retryAfterMs = aRetryAfterMs;
  return result;
}

Test(Backoff, DelayIsNeverShorterThanRetryAfter)
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    Backoff backoff({}, seed);
    cr_assert_geq(backoff.NextDelay(MakeRefusal(800))->count(), 800);
  }
}

Test(Backoff, JitterSpreadsCallersRefusedTogether)
{
  std::set<std::int64_t> delays;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    delays.insert(Backoff({}, seed).NextDelay(MakeRefusal(800))->count());
  }
  cr_assert_gt(delays.size(), 25);
}

Test(Backoff, DoesNotRetryWhatMayHaveRun)
{
  auto result = MakeRefusal(100);
  result.outcome = CallOutcome::Unknown;
  cr_assert(!Backoff({}, 1).NextDelay(result));
}

Test(Backoff, DoesNotRetryPermanentRefusals)
{
  auto result = MakeRefusal(0);
  result.reason = Reason::Credential;
  cr_assert(!Backoff({}, 1).NextDelay(result));
}

Test(Backoff, StopsAfterMaximumRetries)
{
  Backoff backoff({}, 1);
  for (int i = 0; i < 4; ++i) {
    cr_assert(backoff.NextDelay(MakeRefusal(100)).has_value());
  }
  cr_assert(!backoff.NextDelay(MakeRefusal(100)));
}
