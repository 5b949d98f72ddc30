// Updates the view of the fleet by which plan limits are divided.
#pragma once

#include "bramleylock/Admission/PlanLimits.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

/// Passes the balancers and failure domains that share the plans' limits to
/// PlanLimits.
class FleetViewUpdater
{
public:
  FleetViewUpdater(peer::Membership& aMembers, target::TargetTable& aTargets,
                   admission::PlanLimits& aLimits);

  /// Passes on the members and failure domains that are known now.
  auto Update() -> void;

private:
  auto MemberAddresses() const -> std::vector<std::string>;
  auto FailureDomains() const -> std::vector<std::string>;

  peer::Membership& m_members;
  target::TargetTable& m_targets;
  admission::PlanLimits& m_limits;
  Clock::time_point m_startedAt = Clock::now();
};

} // namespace bramleylock::kernel
