// Preference and connection limits of a target, derived from its state.

#include "bramleylock/Target/Target.h"

#include <algorithm>

namespace bramleylock::target {

/// How long a new target, or one back from ejection, takes to reach its full
/// share, and the fraction of it with which it starts.
static constexpr double kWarmUpSeconds = 10;
static constexpr double kMinWarmUpFactor = 0.1;

/// The fraction of its share that a target gets if a probe found it unhealthy
/// and it has not answered within kRecentAnswerPeriod. It is above zero because
/// the result of the probe may be wrong.
static constexpr double kUnhealthyShare = 0.2;
static constexpr std::chrono::seconds kRecentAnswerPeriod{ 2 };

/// The fraction of a target's connections that is divided among the balancers.
/// The rest is a reserve for times at which the balancers' views of their
/// number differ.
static constexpr double kDividedFraction = 0.9;

static constexpr double kHashRange = 4294967296.0;

static auto WarmUpFactorOf(const Target& aTarget, Clock::time_point aNow)
  -> double
{
  if (aTarget.warmUpStart == Clock::time_point{}) {
    return 1;
  }
  const std::chrono::duration<double> passed = aNow - aTarget.warmUpStart;
  return std::clamp(passed.count() / kWarmUpSeconds, kMinWarmUpFactor, 1.0);
}

auto FitnessOf(const Target& aTarget, Clock::time_point aNow) -> double
{
  const bool suspect = aTarget.unhealthyUntil > aNow &&
                       aTarget.lastAnswered + kRecentAnswerPeriod < aNow;
  return WarmUpFactorOf(aTarget, aNow) * aTarget.shedFactor *
         (suspect ? kUnhealthyShare : 1);
}

auto ConnectionLimitOf(const Target& aTarget, Clock::time_point aNow)
  -> std::uint32_t
{
  return aTarget.observedLimitUntil > aNow
           ? std::min(aTarget.observedConnectionLimit, aTarget.connectionShare)
           : aTarget.connectionShare;
}

/// FNV-1a with a finalizer. std::hash would not do, because balancers of
/// different builds must compute the same value.
static auto HashOf(const std::string& aText) -> std::uint32_t
{
  std::uint32_t hash = 2166136261U;
  for (const char letter : aText) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
  }
  hash ^= hash >> 16;
  hash *= 0x85ebca6bU;
  hash ^= hash >> 13;
  hash *= 0xc2b2ae35U;
  return hash ^ (hash >> 16);
}

auto ConnectionShare(std::uint32_t aLimit, std::size_t aBalancers,
                     const std::string& aSelf, const std::string& aTarget)
  -> std::uint32_t
{
  const double share =
    aLimit * kDividedFraction / static_cast<double>(aBalancers);
  if (share >= 1) {
    return static_cast<std::uint32_t>(share);
  }
  return HashOf(aSelf + "|" + aTarget) / kHashRange < share ? 1 : 0;
}

InFlightGuard::InFlightGuard(std::shared_ptr<Target> aTarget)
  : m_target(std::move(aTarget))
{
  ++m_target->inFlight;
}

auto InFlightGuard::operator=(InFlightGuard&& aOther) noexcept -> InFlightGuard&
{
  std::swap(m_target, aOther.m_target);
  return *this;
}

InFlightGuard::~InFlightGuard()
{
  if (m_target) {
    --m_target->inFlight;
  }
}

} // namespace bramleylock::target
