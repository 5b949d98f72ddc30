// How balancers split a service's slots without asking each other.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace bramleylock::admission {

/// What one live balancer last said of a service.
struct BalancerDemand
{
  std::string address;
  /// Requests that run or wait there.
  double demand = 0;
};

/// The slots that the balancer at aSelf may use. All balancers compute the
/// same split from the same demands: each gets what it asks for up to a common
/// level, and what nobody asks for is split evenly. A balancer never gets less
/// than an even share, so new demand need not wait for a heartbeat.
auto SlotShare(double aSlots, const std::string& aSelf,
               std::vector<BalancerDemand> aDemands) -> double;

/// Numbers by failure domain.
using ByDomain = std::map<std::string, double>;

/// The slots that the balancers of aOwn may use together: those that stand
/// there, and of those that other domains do not ask for a part by demand.
auto DomainSlots(const std::string& aOwn, const ByDomain& aDemand,
                 const ByDomain& aSupply) -> double;

} // namespace bramleylock::admission
