// How the work of one failure domain is split over all of them.
#pragma once

#include <map>
#include <string>

namespace bramleylock::target {

/// Numbers by failure domain; only their ratios matter.
using DomainShares = std::map<std::string, double>;

/// The part of aOwn's work that goes to each failure domain, summing to 1.
/// aDemand is the work that arrives in each domain, aSupply the slots there.
/// Work stays in its domain as long as that domain's part of the slots covers
/// it; the rest goes to domains in the ratio of what they have left.
auto SpillShares(const DomainShares& aDemand, const DomainShares& aSupply,
                 const std::string& aOwn) -> DomainShares;

} // namespace bramleylock::target
