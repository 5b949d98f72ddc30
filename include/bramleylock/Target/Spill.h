// Distribution of one failure domain's work over all failure domains.
#pragma once

#include <map>
#include <string>

namespace bramleylock::target {

/// Relative amounts by failure domain; only their ratios matter.
using DomainShares = std::map<std::string, double>;

/// Returns the fraction of the work arriving in domain aOwn that goes to each
/// failure domain; the fractions sum to 1. aDemand is the work that arrives in
/// each domain, aSupply the number of slots there. Work stays in its domain as
/// far as that domain's fraction of all slots covers it. The excess is
/// distributed over the other domains in proportion to their spare capacity.
auto SpillShares(const DomainShares& aDemand, const DomainShares& aSupply,
                 const std::string& aOwn) -> DomainShares;

} // namespace bramleylock::target
