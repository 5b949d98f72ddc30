// Slots are split by the demands that heartbeats carry.

#include "bramleylock/Kernel/CapacityKeeper.h"

#include "bramleylock/Admission/SlotShare.h"

namespace bramleylock::kernel {

using admission::BalancerDemand;

CapacityKeeper::CapacityKeeper(lists::ListKeeper& aLists,
                               peer::Membership& aMembers,
                               target::TargetTable& aTargets,
                               admission::AdmissionPolicy& aAdmission)
  : m_lists(aLists)
  , m_members(aMembers)
  , m_targets(aTargets)
  , m_admission(aAdmission)
{
}

auto CapacityKeeper::FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void
{
  for (const auto& [service, demand] : m_admission.Demand()) {
    if (demand > 0) {
      aHeartbeat.demand.emplace_back(service, demand);
    }
  }
}

static auto DemandOf(const wire::Heartbeat& aHeartbeat,
                     const std::string& aService) -> double
{
  for (const auto& [service, demand] : aHeartbeat.demand) {
    if (service == aService) {
      return demand;
    }
  }
  return 0;
}

auto CapacityKeeper::Update() -> void
{
  const auto lists = m_lists.Current();
  if (!lists) {
    return;
  }
  const auto own = m_admission.Demand();
  const auto peers = m_members.Alive();
  const auto& self = m_members.Self().address;
  for (const auto& [name, service] : lists->services) {
    const auto found = own.find(name);
    std::vector<BalancerDemand> demands{
      { self, found == own.end() ? 0.0 : found->second }
    };
    for (const auto& peer : peers) {
      if (!peer.latest.draining) {
        demands.push_back({ peer.address, DemandOf(peer.latest, name) });
      }
    }
    m_targets.SetSlots(name, service.slots);
    m_admission.SetCapacity(
      name, admission::SlotShare(m_targets.SlotsOf(name), self, demands));
  }
}

} // namespace bramleylock::kernel
