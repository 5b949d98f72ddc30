// How a plan's limit is dealt out over the fleet, which every balancer computes
// by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::admission {

/// Who shares the plans' limits, as one balancer sees it.
struct FleetView
{
  /// Address and failure domain of this balancer.
  std::string self;
  std::string failureDomain;
  /// All failure domains, also those that are cut off; sorted.
  std::vector<std::string> failureDomains;
  /// Balancers of the own failure domain, this one too; sorted.
  std::vector<std::string> members;
};

/// One holder among several that share a whole number of requests.
struct DealPlace
{
  std::size_t position = 0;
  std::size_t count = 0;
};

/// What the holder at aPlace gets of aTotal. The parts of all places add up to
/// aTotal, whatever aRotation, which names who gets the remainder.
auto DealtPart(std::uint64_t aTotal, DealPlace aPlace, std::uint64_t aRotation)
  -> std::uint64_t;

/// Where the own failure domain stands among those that aPlan may use; the
/// count is 0 when it may not use the own one.
auto DomainPlace(const lists::Plan& aPlan, const FleetView& aView) -> DealPlace;

/// Where this balancer stands in its failure domain.
auto MemberPlace(const FleetView& aView) -> DealPlace;

/// A rotation that all balancers compute alike.
auto RotationOf(const std::string& aPlan, std::uint64_t aPeriod)
  -> std::uint64_t;

/// Requests that a limit of aRatePerSecond lets the fleet start in the period
/// aPeriod. Over all periods they add up to the limit.
auto RequestsInPeriod(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t;

/// For how long dealt allowance of a rate limit is good.
inline constexpr std::uint64_t kAllowancePeriodMs = 1000;

} // namespace bramleylock::admission
