// Distribution of work over failure domains.

#include "bramleylock/Target/Spill.h"

#include <algorithm>

namespace bramleylock::target {

static auto Sum(const DomainShares& aShares) -> double
{
  double sum = 0;
  for (const auto& [domain, share] : aShares) {
    sum += share;
  }
  return sum;
}

static auto PartOf(const DomainShares& aShares, const std::string& aDomain,
                   double aSum) -> double
{
  const auto found = aShares.find(aDomain);
  return found == aShares.end() || aSum <= 0 ? 0 : found->second / aSum;
}

auto SpillShares(const DomainShares& aDemand, const DomainShares& aSupply,
                 const std::string& aOwn) -> DomainShares
{
  const double demandSum = Sum(aDemand);
  const double supplySum = Sum(aSupply);
  const double ownDemand = PartOf(aDemand, aOwn, demandSum);
  const double ownSupply = PartOf(aSupply, aOwn, supplySum);
  DomainShares left;
  for (const auto& [domain, supply] : aSupply) {
    const double part = PartOf(aSupply, domain, supplySum);
    left[domain] = std::max(0.0, part - PartOf(aDemand, domain, demandSum));
  }
  const double kept =
    ownDemand <= ownSupply ? (ownSupply > 0 ? 1 : 0) : ownSupply / ownDemand;
  const double leftSum = Sum(left);
  DomainShares shares;
  for (const auto& [domain, supply] : aSupply) {
    // If no domain has spare capacity, the excess is distributed in proportion
    // to the slots.
    const double part =
      leftSum > 0 ? left[domain] / leftSum : PartOf(aSupply, domain, supplySum);
    shares[domain] = (1 - kept) * part + (domain == aOwn ? kept : 0);
  }
  return shares;
}

} // namespace bramleylock::target
