// Keeps this balancer's part of every service's slots.
#pragma once

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/SlotShare.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

/// Computes the part from the lists, the targets and what peers say that they
/// ask for; the platform is not asked.
class CapacityKeeper
{
public:
  CapacityKeeper(lists::ListReplica& aLists, peer::Membership& aMembers,
                 target::TargetTable& aTargets,
                 admission::AdmissionPolicy& aAdmission);

  /// Computes the parts anew from the lists, targets and peers' demands.
  auto Update() -> void;

  /// Tells peers of this balancer's demand.
  auto FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void;

private:
  struct Computed
  {
    Clock::time_point at{};
    double slots = 0;
  };

  auto Proven(const std::string& aService, double aSlots) -> double;
  auto SupplyOf(const std::string& aService) const -> admission::ByDomain;
  auto ShareOf(const std::string& aService) const -> double;
  auto UpdateOwnSlots() -> void;

  lists::ListReplica& m_lists;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  admission::AdmissionPolicy& m_admission;
  /// The shares of the last moments, by service.
  std::map<std::string, std::vector<Computed>> m_computed;
};

} // namespace bramleylock::kernel
