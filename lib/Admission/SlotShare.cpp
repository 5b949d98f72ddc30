// Max-min fair division into whole slots.

#include "bramleylock/Admission/SlotShare.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::admission {

/// The cap on each demand at which the capped demands add up to aSlots;
/// infinite if the sum of all demands does not exceed aSlots. aDemands are
/// sorted in ascending order.
static auto CommonLevel(double aSlots,
                        const std::vector<BalancerDemand>& aDemands) -> double
{
  double left = aSlots;
  auto sharers = static_cast<double>(aDemands.size());
  for (const auto& balancer : aDemands) {
    const auto level = left / sharers;
    if (balancer.demand > level) {
      return level;
    }
    left -= balancer.demand;
    --sharers;
  }
  return HUGE_VAL;
}

/// aLevel rounded down to whole slots. The slots that rounding leaves over go
/// to the first of the capped balancers in the order of addresses.
static auto WholeSlots(double aLevel, const std::string& aSelf,
                       const std::vector<BalancerDemand>& aDemands) -> double
{
  double sharers = 0;
  double before = 0;
  for (const auto& balancer : aDemands) {
    if (balancer.demand > aLevel) {
      ++sharers;
      before += balancer.address < aSelf ? 1 : 0;
    }
  }
  const auto whole = std::floor(aLevel);
  const auto leftOver = std::round((aLevel - whole) * sharers);
  return whole + (before < leftOver ? 1 : 0);
}

auto SlotShare(double aSlots, const std::string& aSelf,
               std::vector<BalancerDemand> aDemands) -> double
{
  std::sort(aDemands.begin(), aDemands.end(),
            [](const BalancerDemand& aLeft, const BalancerDemand& aRight) {
              return aLeft.demand < aRight.demand;
            });
  const auto even = aSlots / static_cast<double>(aDemands.size());
  double own = 0;
  double total = 0;
  for (const auto& balancer : aDemands) {
    own = balancer.address == aSelf ? balancer.demand : own;
    total += balancer.demand;
  }
  const auto level = CommonLevel(aSlots, aDemands);
  if (level == HUGE_VAL) {
    const auto unasked =
      (aSlots - total) / static_cast<double>(aDemands.size());
    return std::max({ 1.0, even, own + unasked });
  }
  const auto share =
    own > level ? WholeSlots(level, aSelf, aDemands) : std::max(own, even);
  return std::max(1.0, share);
}

auto DomainSlots(const std::string& aOwn, const ByDomain& aDemand,
                 const ByDomain& aSupply) -> double
{
  const auto valueOf = [](const ByDomain& aValues, const std::string& aDomain) {
    const auto found = aValues.find(aDomain);
    return found == aValues.end() ? 0.0 : found->second;
  };
  double unasked = 0;
  for (const auto& [domain, supply] : aSupply) {
    unasked += std::max(0.0, supply - valueOf(aDemand, domain));
  }
  double wanted = 0;
  for (const auto& [domain, demand] : aDemand) {
    wanted += std::max(0.0, demand - valueOf(aSupply, domain));
  }
  const auto supply = valueOf(aSupply, aOwn);
  const auto lacking = valueOf(aDemand, aOwn) - supply;
  if (lacking <= 0) {
    return supply;
  }
  return supply + lacking * std::min(1.0, unasked / wanted);
}

} // namespace bramleylock::admission
