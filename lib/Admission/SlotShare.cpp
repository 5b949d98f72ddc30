// Max-min fair division into whole slots.

#include "bramleylock/Admission/SlotShare.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::admission {

/// The cap on each demand at which the capped demands add up to aSlots;
/// infinite if the sum of all demands does not exceed aSlots. aDemands are
/// sorted in ascending order.
static auto MaxMinLevel(double aSlots,
                        const std::vector<BalancerDemand>& aDemands) -> double
{
  double left = aSlots;
  auto remainingBalancers = static_cast<double>(aDemands.size());
  for (const auto& balancer : aDemands) {
    const auto level = left / remainingBalancers;
    if (balancer.demand > level) {
      return level;
    }
    left -= balancer.demand;
    --remainingBalancers;
  }
  return HUGE_VAL;
}

/// aLevel rounded down to whole slots. The slots that rounding leaves over go
/// to the first of the capped balancers in the order of addresses.
static auto WholeSlots(double aLevel, const std::string& aSelf,
                       const std::vector<BalancerDemand>& aDemands) -> double
{
  double cappedBalancers = 0;
  double precedingCapped = 0;
  for (const auto& balancer : aDemands) {
    if (balancer.demand > aLevel) {
      ++cappedBalancers;
      precedingCapped += balancer.address < aSelf ? 1 : 0;
    }
  }
  const auto wholeSlots = std::floor(aLevel);
  const auto remainder = std::round((aLevel - wholeSlots) * cappedBalancers);
  return wholeSlots + (precedingCapped < remainder ? 1 : 0);
}

auto SlotShare(double aSlots, const std::string& aSelf,
               std::vector<BalancerDemand> aDemands) -> double
{
  std::sort(aDemands.begin(), aDemands.end(),
            [](const BalancerDemand& aLeft, const BalancerDemand& aRight) {
              return aLeft.demand < aRight.demand;
            });
  const auto evenShare = aSlots / static_cast<double>(aDemands.size());
  double ownDemand = 0;
  double totalDemand = 0;
  for (const auto& balancer : aDemands) {
    ownDemand = balancer.address == aSelf ? balancer.demand : ownDemand;
    totalDemand += balancer.demand;
  }
  const auto level = MaxMinLevel(aSlots, aDemands);
  if (level == HUGE_VAL) {
    const auto unclaimed =
      (aSlots - totalDemand) / static_cast<double>(aDemands.size());
    return std::max({ 1.0, evenShare, ownDemand + unclaimed });
  }
  const auto share = ownDemand > level ? WholeSlots(level, aSelf, aDemands)
                                       : std::max(ownDemand, evenShare);
  return std::max(1.0, share);
}

auto DomainSlots(const std::string& aOwnDomain, const ByDomain& aDemand,
                 const ByDomain& aSupply) -> double
{
  const auto valueOf = [](const ByDomain& aValues, const std::string& aDomain) {
    const auto found = aValues.find(aDomain);
    return found == aValues.end() ? 0.0 : found->second;
  };
  double unclaimed = 0;
  for (const auto& [domain, supply] : aSupply) {
    unclaimed += std::max(0.0, supply - valueOf(aDemand, domain));
  }
  double totalDeficit = 0;
  for (const auto& [domain, demand] : aDemand) {
    totalDeficit += std::max(0.0, demand - valueOf(aSupply, domain));
  }
  const auto supply = valueOf(aSupply, aOwnDomain);
  const auto deficit = valueOf(aDemand, aOwnDomain) - supply;
  if (deficit <= 0) {
    return supply;
  }
  return supply + deficit * std::min(1.0, unclaimed / totalDeficit);
}

} // namespace bramleylock::admission
