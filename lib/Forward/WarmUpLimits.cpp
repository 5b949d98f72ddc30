// Token buckets for the targets that this balancer owns while they warm up.

#include "bramleylock/Forward/WarmUpLimits.h"

#include "bramleylock/Support/Rendezvous.h"
#include "bramleylock/Support/SipHash.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::forward {

/// Maximum number of owners of a target: one may fail or be out of the rotation
/// without leaving the target idle.
static constexpr double kMaxOwners = 4;

/// Share of the expected balancers of the failure domain from which the known
/// ones are taken for all of them. A balancer that knows fewer has just started
/// or is partitioned, and others may consider themselves owners as well.
static constexpr double kCompleteShare = 0.9;

/// Time without requests after which the allowance of a target is discarded.
static constexpr std::chrono::seconds kAllowanceRetention{ 10 };

WarmUpLimits::WarmUpLimits(WarmUpTolerance aTolerance)
  : m_tolerance(aTolerance)
{
}

auto WarmUpLimits::SetBalancers(DomainBalancers aBalancers) -> void
{
  if (aBalancers == m_balancers) {
    return;
  }
  m_balancers = std::move(aBalancers);
  for (auto& [tag, allowance] : m_allowances) {
    allowance.rate.reset();
  }
}

static auto IsLimited(const DirectoryEntry& aTarget, double aRequestsPerSecond,
                      Clock::time_point aNow) -> bool
{
  return aRequestsPerSecond > 0 && aTarget.MayBeWarmingUp(aNow);
}

/// Returns the requests per second that this balancer may send to aTarget. Each
/// owner may also send one request at once, so the owners are so few that the
/// tolerance covers these.
auto WarmUpLimits::OwnRate(const DirectoryEntry& aTarget,
                           double aRequestsPerSecond) const -> double
{
  if (aTarget.record.failureDomain != m_balancers.failureDomain ||
      m_balancers.expected == 0) {
    return 0;
  }
  const double tolerated =
    aRequestsPerSecond * m_tolerance.factor + m_tolerance.requests;
  const double known = static_cast<double>(m_balancers.addresses.size());
  const double expected = static_cast<double>(m_balancers.expected);
  if (known < kCompleteShare * expected) {
    return std::min(aRequestsPerSecond, tolerated / 2) / expected;
  }
  const double owners =
    std::clamp(std::floor(tolerated - aRequestsPerSecond), 1.0,
               std::min(kMaxOwners, std::max(known, 1.0)));
  const auto order =
    RendezvousOrder("warm-up/" + aTarget.record.id, m_balancers.addresses);
  const auto position =
    std::find(order.begin(), order.end(), m_balancers.self) - order.begin();
  if (static_cast<double>(position) >= owners) {
    return 0;
  }
  // The rest of the limit is left to the expected balancers that are not known.
  const double rate = std::max(std::min(aRequestsPerSecond, tolerated - owners),
                               aRequestsPerSecond / 2);
  return rate * std::min(1.0, known / expected) / owners;
}

auto WarmUpLimits::AllowanceOf(const DirectoryEntry& aTarget,
                               double aRequestsPerSecond,
                               Clock::time_point aNow) -> Allowance&
{
  // An incarnation takes over what is left of the allowance of the one before,
  // which may have been limited because it was suspected to have restarted.
  auto [position, isNew] = m_allowances.try_emplace(aTarget.record.id);
  auto& allowance = position->second;
  if (isNew) {
    // Balancers that start together must not all send their first request at
    // the same time.
    const auto phase = SipHash(m_balancers.self + "/" + aTarget.record.id);
    allowance = { std::ldexp(static_cast<double>(phase), -64), aNow, {} };
  }
  if (!allowance.rate) {
    allowance.rate = OwnRate(aTarget, aRequestsPerSecond);
  }
  const std::chrono::duration<double> elapsed = aNow - allowance.at;
  allowance.requests =
    std::min(1.0, allowance.requests + *allowance.rate * elapsed.count());
  allowance.at = aNow;
  return allowance;
}

auto WarmUpLimits::MayOpenFlow(const DirectoryEntry& aTarget,
                               double aRequestsPerSecond,
                               Clock::time_point aNow) -> bool
{
  return !IsLimited(aTarget, aRequestsPerSecond, aNow) ||
         AllowanceOf(aTarget, aRequestsPerSecond, aNow).requests >= 1;
}

auto WarmUpLimits::RecordRequest(const DirectoryEntry& aTarget,
                                 double aRequestsPerSecond,
                                 Clock::time_point aNow) -> void
{
  if (IsLimited(aTarget, aRequestsPerSecond, aNow)) {
    AllowanceOf(aTarget, aRequestsPerSecond, aNow).requests -= 1;
  }
}

auto WarmUpLimits::Expire(Clock::time_point aNow) -> void
{
  std::erase_if(m_allowances, [aNow](const auto& aRow) {
    return aNow - aRow.second.at > kAllowanceRetention;
  });
}

} // namespace bramleylock::forward
