// Preference and connection limits of a target, derived from its state.

#include "bramleylock/Target/Target.h"

#include <algorithm>

namespace bramleylock::target {

/// How long a new target, or one back from ejection, takes to reach its full
/// share, and the fraction of it with which it starts.
static constexpr double kWarmUpSeconds = 10;
static constexpr double kColdest = 0.1;

/// The fraction of its share that a target gets if a probe found it unhealthy
/// and it has not answered within kAnsweredLately. It is above zero because the
/// result of the probe may be wrong.
static constexpr double kUnhealthyShare = 0.2;
static constexpr std::chrono::seconds kAnsweredLately{ 2 };

/// The fraction of a target's connections that is divided among the balancers.
/// The rest is a reserve for times at which the balancers' views of their
/// number differ.
static constexpr double kSplitPart = 0.9;

static constexpr double kHashRange = 4294967296.0;

static auto WarmthOf(const Target& aTarget, Clock::time_point aNow) -> double
{
  if (aTarget.warmingSince == Clock::time_point{}) {
    return 1;
  }
  const std::chrono::duration<double> passed = aNow - aTarget.warmingSince;
  return std::clamp(passed.count() / kWarmUpSeconds, kColdest, 1.0);
}

auto FitnessOf(const Target& aTarget, Clock::time_point aNow) -> double
{
  const bool doubted = aTarget.unhealthyUntil > aNow &&
                       aTarget.lastAnswered + kAnsweredLately < aNow;
  return WarmthOf(aTarget, aNow) * aTarget.ease *
         (doubted ? kUnhealthyShare : 1);
}

auto ConnectionLimitOf(const Target& aTarget, Clock::time_point aNow)
  -> std::uint32_t
{
  return aTarget.learntUntil > aNow
           ? std::min(aTarget.learntShare, aTarget.connectionShare)
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
  const double share = aLimit * kSplitPart / static_cast<double>(aBalancers);
  if (share >= 1) {
    return static_cast<std::uint32_t>(share);
  }
  return HashOf(aSelf + "|" + aTarget) / kHashRange < share ? 1 : 0;
}

InFlight::InFlight(std::shared_ptr<Target> aTarget)
  : m_target(std::move(aTarget))
{
  ++m_target->inFlight;
}

auto InFlight::operator=(InFlight&& aOther) noexcept -> InFlight&
{
  std::swap(m_target, aOther.m_target);
  return *this;
}

InFlight::~InFlight()
{
  if (m_target) {
    --m_target->inFlight;
  }
}

} // namespace bramleylock::target
