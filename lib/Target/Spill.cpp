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

static auto FractionOf(const DomainShares& aShares, const std::string& aDomain,
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
  const double ownDemand = FractionOf(aDemand, aOwn, demandSum);
  const double ownSupply = FractionOf(aSupply, aOwn, supplySum);
  DomainShares spare;
  for (const auto& [domain, supply] : aSupply) {
    const double fraction = FractionOf(aSupply, domain, supplySum);
    spare[domain] =
      std::max(0.0, fraction - FractionOf(aDemand, domain, demandSum));
  }
  const double keptFraction =
    ownDemand <= ownSupply ? (ownSupply > 0 ? 1 : 0) : ownSupply / ownDemand;
  const double spareSum = Sum(spare);
  DomainShares shares;
  for (const auto& [domain, supply] : aSupply) {
    // If no domain has spare capacity, the excess is distributed in proportion
    // to the slots.
    const double fraction = spareSum > 0
                              ? spare[domain] / spareSum
                              : FractionOf(aSupply, domain, supplySum);
    shares[domain] =
      (1 - keptFraction) * fraction + (domain == aOwn ? keptFraction : 0);
  }
  return shares;
}

} // namespace bramleylock::target
