// Selects the target of a new flow from the targets of its service.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Forward/FlowTable.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Forward/WarmUpLimits.h"

namespace bramleylock::forward {

/// The selected target, or the reason why there is none at present.
struct TargetSelection
{
  DirectoryEntry* target = nullptr;
  RefusalReason refusal = RefusalReason::None;
  /// Number of targets among which it was selected.
  std::size_t candidates = 0;
};

/// Describes the targets of a service to the selection policy: their load from
/// this balancer's own flows, their speed, and whether they respond. Makes no
/// use of sockets or clocks.
class TargetSelector
{
public:
  TargetSelector(const RouteTable& aRoutes, TargetDirectory& aTargets,
                 FlowChoice& aChoice, FlowTable& aFlows,
                 std::string aFailureDomain, WarmUpTolerance aWarmUpTolerance,
                 std::uint64_t aSeed);

  /// Selects a target for the flow of aPacket. aExcludedTarget is used only if
  /// the service has no other target; it may be null.
  auto Select(const Packet& aPacket, const Route& aRoute,
              const DirectoryEntry* aExcludedTarget, Clock::time_point aNow)
    -> TargetSelection;

  /// Selects a further target for the first packet of a flow that was sent to
  /// aFirstTarget. Returns null unless another target has a free slot, as far
  /// as this balancer knows.
  auto SelectSecond(const Packet& aPacket, const Route& aRoute,
                    const DirectoryEntry& aFirstTarget, Clock::time_point aNow)
    -> DirectoryEntry*;

  /// Records a service time of a target relative to the usual one.
  auto RecordSlowness(DirectoryEntry& aTarget, double aRatio,
                      Clock::time_point aNow) -> void;

  /// Sets the number of balancers that share the targets, including this one,
  /// and the number known in each failure domain.
  auto SetBalancers(std::size_t aCount,
                    std::map<std::string, std::size_t> aByDomain) -> void;

  auto Balancers() const -> std::size_t;

  /// Sets the balancers that share the targets of this failure domain while
  /// they warm up.
  auto SetDomainBalancers(DomainBalancers aBalancers) -> void;

  /// Counts a request on a new or open flow to aTarget.
  auto RecordRequest(const DirectoryEntry& aTarget, Clock::time_point aNow)
    -> void;

  auto Expire(Clock::time_point aNow) -> void;

private:
  auto Choose(const Packet& aPacket, const Route& aRoute,
              const DirectoryEntry* aExcludedTarget, Clock::time_point aNow)
    -> TargetSelection;
  auto RemoveLimitedByWarmUp(std::vector<DirectoryEntry*>& aEntries,
                             const std::string& aService,
                             Clock::time_point aNow) -> RefusalReason;
  auto OpenFlowLimit(const std::string& aService) const -> std::uint32_t;
  auto SlownessOf(const DirectoryEntry& aTarget, Clock::time_point aNow) const
    -> double;
  auto BalancersSharing(const std::vector<DirectoryEntry*>& aTargets,
                        Clock::time_point aNow) const -> std::size_t;

  const RouteTable& m_routes;
  TargetDirectory& m_targets;
  FlowChoice& m_choice;
  FlowTable& m_flows;
  std::string m_failureDomain;
  Random m_random;
  std::size_t m_balancers = 1;
  std::map<std::string, std::size_t> m_balancersByDomain;
  WarmUpLimits m_warmUpLimits;
  /// Slowness of targets that are warming up.
  double m_warmUpSlowness;
};

} // namespace bramleylock::forward
