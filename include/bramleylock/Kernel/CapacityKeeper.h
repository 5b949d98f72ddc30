// Keeps this balancer's part of every service's slots.
#pragma once

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Lists/ListKeeper.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

class CapacityKeeper
{
public:
  CapacityKeeper(lists::ListKeeper& aLists, peer::Membership& aMembers,
                 target::TargetTable& aTargets,
                 admission::AdmissionPolicy& aAdmission);

  /// Computes the parts anew from the lists, targets and peers' demands.
  auto Update() -> void;

  /// Tells peers of this balancer's demand.
  auto FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void;

private:
  lists::ListKeeper& m_lists;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  admission::AdmissionPolicy& m_admission;
};

} // namespace bramleylock::kernel
