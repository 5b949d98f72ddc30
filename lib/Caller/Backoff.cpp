// Exponential backoff with jitter. A delay is never shorter than the retry
// delay of the refusal.

#include "bramleylock/Caller/Backoff.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::caller {

using wire::Reason;

/// Minimum range of the random delay added to the retry delay of a refusal, as
/// a fraction of that delay. It keeps callers that were refused at the same
/// time from retrying at the same time.
static constexpr double kMinJitterFraction = 0.25;

/// Reasons that are temporary, so that a retry can succeed.
static constexpr std::array<Reason, 8> kTemporaryReasons{
  Reason::NotReady, Reason::Draining,       Reason::QueueFull,
  Reason::Deadline, Reason::NoTarget,       Reason::TargetShed,
  Reason::PlanRate, Reason::PlanConcurrency
};

Backoff::Backoff(BackoffOptions aOptions, std::uint64_t aSeed)
  : m_options(aOptions)
  , m_random(aSeed)
{
}

auto Backoff::NextDelay(const CallResult& aResult)
  -> std::optional<Milliseconds>
{
  const bool isRefused = aResult.outcome == CallOutcome::NotRun ||
                         aResult.outcome == CallOutcome::Refused;
  const bool isTemporary =
    std::find(kTemporaryReasons.begin(), kTemporaryReasons.end(),
              aResult.reason) != kTemporaryReasons.end();
  if (!isRefused || !isTemporary || m_retryCount >= m_options.maxRetries) {
    return std::nullopt;
  }
  const auto exponentialDelay =
    m_options.initialDelay * (1 << std::min(m_retryCount, 16));
  ++m_retryCount;
  const auto delayLimit = std::min(exponentialDelay, m_options.maxDelay);
  std::uniform_real_distribution<> jitter(0, 1);
  if (aResult.retryAfterMs == 0) {
    return Milliseconds(1 +
                        std::llround(jitter(m_random) * delayLimit.count()));
  }
  const auto jitterRange =
    std::max<double>(aResult.retryAfterMs * kMinJitterFraction,
                     static_cast<double>(delayLimit.count()));
  return Milliseconds(aResult.retryAfterMs +
                      std::llround(jitter(m_random) * jitterRange));
}

} // namespace bramleylock::caller
