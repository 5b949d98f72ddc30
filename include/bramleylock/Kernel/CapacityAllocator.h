// Computes this balancer's share of every service's slots.
#pragma once

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/SlotShare.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

/// Computes the share from the lists, the targets and the demand that peers
/// report in their heartbeats, without calls to the platform.
class CapacityAllocator
{
public:
  CapacityAllocator(lists::ListReplica& aLists, peer::Membership& aMembers,
                    target::TargetTable& aTargets,
                    admission::AdmissionPolicy& aAdmission);

  /// Recomputes the shares from the current lists, targets and peers' demand.
  auto Update() -> void;

  /// Adds this balancer's demand to a heartbeat.
  auto FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void;

private:
  struct ShareSample
  {
    Clock::time_point at{};
    double slots = 0;
  };

  auto MinRecentShare(const std::string& aService, double aSlots) -> double;
  auto SlotsByDomain(const std::string& aService) const -> admission::ByDomain;
  auto ComputeShare(const std::string& aService) const -> double;
  auto AssignOwnSlots() -> void;

  lists::ListReplica& m_lists;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  admission::AdmissionPolicy& m_admission;
  /// The shares computed within the borrowing delay, by service.
  std::map<std::string, std::vector<ShareSample>> m_recentShares;
};

} // namespace bramleylock::kernel
