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
static constexpr double kJitterPart = 0.25;

/// Reasons that are temporary, so that a retry can succeed.
static constexpr std::array<Reason, 8> kPassing{
  Reason::NotReady, Reason::Draining,       Reason::QueueFull,
  Reason::Deadline, Reason::NoTarget,       Reason::TargetShed,
  Reason::PlanRate, Reason::PlanConcurrency
};

Backoff::Backoff(BackoffOptions aOptions, std::uint64_t aSeed)
  : m_options(aOptions)
  , m_random(aSeed)
{
}

auto Backoff::Next(const CallResult& aResult) -> std::optional<Milliseconds>
{
  const bool refused = aResult.outcome == CallOutcome::NotRun ||
                       aResult.outcome == CallOutcome::Refused;
  const bool passing = std::find(kPassing.begin(), kPassing.end(),
                                 aResult.reason) != kPassing.end();
  if (!refused || !passing || m_retries >= m_options.retries) {
    return std::nullopt;
  }
  const auto doubled = m_options.first * (1 << std::min(m_retries, 16));
  ++m_retries;
  const auto own = std::min(doubled, m_options.longest);
  std::uniform_real_distribution<> jitter(0, 1);
  if (aResult.retryAfterMs == 0) {
    return Milliseconds(1 + std::llround(jitter(m_random) * own.count()));
  }
  const auto spread = std::max<double>(aResult.retryAfterMs * kJitterPart,
                                       static_cast<double>(own.count()));
  return Milliseconds(aResult.retryAfterMs +
                      std::llround(jitter(m_random) * spread));
}

} // namespace bramleylock::caller
