// Allocation of a plan's limit to the balancers of the fleet. Every balancer
// computes the allocation locally.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::admission {

/// The balancers and failure domains that share the plans' limits, as known to
/// one balancer.
struct FleetView
{
  /// Address and failure domain of this balancer.
  std::string self;
  std::string failureDomain;
  /// All failure domains, including unreachable ones; sorted.
  std::vector<std::string> failureDomains;
  /// Balancers of this failure domain, including this balancer; sorted.
  std::vector<std::string> members;
};

/// The index of one holder among the `count` holders that share a whole number
/// of requests.
struct ShareIndex
{
  std::size_t index = 0;
  std::size_t count = 0;
};

/// The part of aTotal that is allocated to the holder aShareIndex. aRotation
/// selects the holders that get the remainder; for any aRotation, the parts of
/// all holders add up to aTotal.
auto IntegerShare(std::uint64_t aTotal, ShareIndex aShareIndex,
                  std::uint64_t aRotation) -> std::uint64_t;

/// The index of this failure domain among those that aPlan may use. The count
/// is 0 if the plan may not use this failure domain.
auto DomainShareIndex(const lists::Plan& aPlan, const FleetView& aView)
  -> ShareIndex;

/// The index of this balancer in its failure domain.
auto MemberShareIndex(const FleetView& aView) -> ShareIndex;

/// The rotation for aPlan in aPeriod; all balancers compute the same value.
auto AllocationRotation(const std::string& aPlan, std::uint64_t aPeriod)
  -> std::uint64_t;

/// The number of requests that a limit of aRatePerSecond allows the whole fleet
/// to start in aPeriod. Summed over periods, these match the limit.
auto RequestsInPeriod(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t;

/// Length of a period. The allowance of a rate limit is valid for one period.
inline constexpr std::uint64_t kAllowancePeriodMs = 1000;

} // namespace bramleylock::admission
