// Slots are split by the demands that heartbeats carry.

#include "bramleylock/Kernel/CapacityKeeper.h"

#include "bramleylock/Admission/SlotShare.h"

#include <algorithm>

namespace bramleylock::kernel {

using admission::BalancerDemand;

/// Slots are borrowed when nobody else asked for them for this long. A flood
/// that starts everywhere at once would else be met by balancers that all take
/// the others' slots, before they hear of each other's demand.
static constexpr Milliseconds kUnaskedFor{ 1500 };

/// What a balancer said earlier than this is not known to hold; it then counts
/// as asking for all that it may have.
static constexpr Milliseconds kHeardWithin{ 3000 };
static constexpr double kUnknownDemand = 1e6;

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

/// Deals the slots of the own failure domain out to its balancers, all of
/// which compute the same deal from the same lists.
auto CapacityKeeper::UpdateOwnSlots() -> void
{
  const auto& self = m_members.Self();
  std::vector<std::string> balancers{ self.address };
  for (const auto& peer : m_members.AliveMembersInDomain()) {
    if (!peer.latestHeartbeat.draining) {
      balancers.push_back(peer.address);
    }
  }
  std::sort(balancers.begin(), balancers.end());
  std::map<std::string, std::size_t> next;
  std::map<std::string, std::uint32_t> own;
  for (const auto& [address, target] : m_targets.All()) {
    if (target->failureDomain != self.failureDomain || target->leaving) {
      continue;
    }
    for (std::uint32_t i = 0; i < target->slots; ++i) {
      const auto dealt = next[target->service]++ % balancers.size();
      own[address] += balancers[dealt] == self.address ? 1 : 0;
    }
  }
  m_targets.SetOwnSlots(own);
}

/// The least share of the last moments.
auto CapacityKeeper::Proven(const std::string& aService, double aSlots)
  -> double
{
  const auto now = Clock::now();
  auto& computed = m_computed[aService];
  std::erase_if(computed, [now](const Computed& aPast) {
    return aPast.at < now - kUnaskedFor;
  });
  computed.push_back({ now, aSlots });
  const auto least =
    std::min_element(computed.begin(), computed.end(),
                     [](const Computed& aLeft, const Computed& aRight) {
                       return aLeft.slots < aRight.slots;
                     });
  return least->slots;
}

auto CapacityKeeper::SupplyOf(const std::string& aService) const
  -> admission::ByDomain
{
  admission::ByDomain supply;
  for (const auto& [address, target] : m_targets.All()) {
    if (target->service == aService && !target->leaving) {
      supply[target->failureDomain] += target->slots;
    }
  }
  return supply;
}

auto CapacityKeeper::ShareOf(const std::string& aService) const -> double
{
  const auto& self = m_members.Self();
  const auto supply = SupplyOf(aService);
  const auto all = m_admission.Demand();
  const auto own = all.find(aService);
  const auto peers = m_members.AliveMembers();
  const auto oldest = Clock::now() - kHeardWithin;
  std::vector<BalancerDemand> demands{
    { self.address, own == all.end() ? 0.0 : own->second }
  };
  admission::ByDomain demand{ { self.failureDomain, demands[0].demand } };
  // Other domains lend only what is known not to be asked for there.
  bool complete = peers.size() + 1 >= m_members.AliveCount();
  for (const auto& peer : peers) {
    if (peer.latestHeartbeat.draining) {
      continue;
    }
    const bool heard = peer.lastHeard >= oldest;
    complete = complete && heard;
    const auto asked =
      heard ? DemandOf(peer.latestHeartbeat, aService) : kUnknownDemand;
    demand[peer.failureDomain] += asked;
    if (peer.failureDomain == self.failureDomain) {
      demands.push_back({ peer.address, asked });
    }
  }
  const auto inDomain = supply.find(self.failureDomain);
  const auto slots =
    complete ? admission::DomainSlots(self.failureDomain, demand, supply)
             : (inDomain == supply.end() ? 0.0 : inDomain->second);
  return admission::SlotShare(slots, self.address, demands);
}

auto CapacityKeeper::Update() -> void
{
  const auto lists = m_lists.Current();
  if (!lists) {
    return;
  }
  for (const auto& [name, service] : lists->services) {
    m_targets.SetSlots(name, service.slots);
    if (m_targets.SlotsOf(name) > 0) {
      m_admission.SetCapacity(name, Proven(name, ShareOf(name)));
    }
  }
  UpdateOwnSlots();
}

} // namespace bramleylock::kernel
