// Division of a service's slots between balancers without coordination.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace bramleylock::admission {

/// The last demand for a service that a live balancer has reported.
struct BalancerDemand
{
  std::string address;
  /// The number of running and waiting requests at the balancer.
  double demand = 0;
};

/// The slots that the balancer at aSelf may use, by max-min fairness. All
/// balancers compute the same division from the same demands: each gets its
/// demand up to a common level, and unclaimed slots are divided evenly. Apart
/// from rounding, a balancer never gets less than an even share, so that new
/// demand does not wait for a heartbeat.
auto SlotShare(double aSlots, const std::string& aSelf,
               std::vector<BalancerDemand> aDemands) -> double;

/// A quantity for each failure domain.
using ByDomain = std::map<std::string, double>;

/// The slots that the balancers of the failure domain aOwnDomain may use
/// together: those of its own targets, plus a part of the unclaimed slots of
/// the other domains that is proportional to the demand beyond its own slots.
auto DomainSlots(const std::string& aOwnDomain, const ByDomain& aDemand,
                 const ByDomain& aSupply) -> double;

} // namespace bramleylock::admission
