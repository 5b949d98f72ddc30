// Division of slots between balancers by the demand in their heartbeats.

#include "bramleylock/Kernel/CapacityAllocator.h"

#include "bramleylock/Admission/SlotShare.h"

#include <algorithm>

namespace bramleylock::kernel {

using admission::BalancerDemand;

/// Slots of other balancers are borrowed only when those have not needed them
/// for this long. Otherwise, when a flood starts at all balancers at once, each
/// of them would take the others' slots before it learns of their demand.
static constexpr Milliseconds kBorrowDelay{ 1500 };

/// Maximum age of a heartbeat whose demand is used. A balancer with an older
/// heartbeat is assumed to need all the slots that it may have.
static constexpr Milliseconds kMaxHeartbeatAge{ 3000 };
static constexpr double kAssumedDemand = 1e6;

CapacityAllocator::CapacityAllocator(lists::ListReplica& aLists,
                                     peer::Membership& aMembers,
                                     target::TargetTable& aTargets,
                                     admission::AdmissionPolicy& aAdmission)
  : m_lists(aLists)
  , m_members(aMembers)
  , m_targets(aTargets)
  , m_admission(aAdmission)
{
}

auto CapacityAllocator::FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void
{
  for (const auto& [service, demand] : m_admission.Demand()) {
    if (demand > 0) {
      aHeartbeat.demand.emplace_back(service, demand);
    }
  }
}

static auto ReportedDemand(const wire::Heartbeat& aHeartbeat,
                           const std::string& aService) -> double
{
  for (const auto& [service, demand] : aHeartbeat.demand) {
    if (service == aService) {
      return demand;
    }
  }
  return 0;
}

/// Assigns the slots of the targets in this failure domain to its balancers in
/// turn. All balancers compute the same assignment from the same lists.
auto CapacityAllocator::AssignOwnSlots() -> void
{
  const auto& self = m_members.Self();
  std::vector<std::string> balancers{ self.address };
  for (const auto& peer : m_members.AliveMembersInDomain()) {
    if (!peer.latestHeartbeat.draining) {
      balancers.push_back(peer.address);
    }
  }
  std::sort(balancers.begin(), balancers.end());
  std::map<std::string, std::size_t> nextBalancer;
  std::map<std::string, std::uint32_t> ownSlots;
  for (const auto& [address, target] : m_targets.All()) {
    if (target->failureDomain != self.failureDomain || target->leaving) {
      continue;
    }
    for (std::uint32_t i = 0; i < target->slots; ++i) {
      const auto balancerIndex =
        nextBalancer[target->service]++ % balancers.size();
      ownSlots[address] += balancers[balancerIndex] == self.address ? 1 : 0;
    }
  }
  m_targets.SetOwnSlots(ownSlots);
}

/// The lowest share computed within the borrowing delay, aSlots included.
auto CapacityAllocator::MinRecentShare(const std::string& aService,
                                       double aSlots) -> double
{
  const auto now = Clock::now();
  auto& samples = m_recentShares[aService];
  std::erase_if(samples, [now](const ShareSample& aSample) {
    return aSample.at < now - kBorrowDelay;
  });
  samples.push_back({ now, aSlots });
  const auto lowest =
    std::min_element(samples.begin(), samples.end(),
                     [](const ShareSample& aLeft, const ShareSample& aRight) {
                       return aLeft.slots < aRight.slots;
                     });
  return lowest->slots;
}

auto CapacityAllocator::SlotsByDomain(const std::string& aService) const
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

auto CapacityAllocator::ComputeShare(const std::string& aService) const
  -> double
{
  const auto& self = m_members.Self();
  const auto supply = SlotsByDomain(aService);
  const auto ownDemands = m_admission.Demand();
  const auto own = ownDemands.find(aService);
  const auto peers = m_members.AliveMembers();
  const auto oldestUsable = Clock::now() - kMaxHeartbeatAge;
  std::vector<BalancerDemand> demands{
    { self.address, own == ownDemands.end() ? 0.0 : own->second }
  };
  admission::ByDomain demand{ { self.failureDomain, demands[0].demand } };
  // Slots of other failure domains are borrowed only when the demand of every
  // live balancer is known.
  bool isDemandComplete = peers.size() + 1 >= m_members.AliveCount();
  for (const auto& peer : peers) {
    if (peer.latestHeartbeat.draining) {
      continue;
    }
    const bool isRecent = peer.lastMessageAt >= oldestUsable;
    isDemandComplete = isDemandComplete && isRecent;
    const auto peerDemand = isRecent
                              ? ReportedDemand(peer.latestHeartbeat, aService)
                              : kAssumedDemand;
    demand[peer.failureDomain] += peerDemand;
    if (peer.failureDomain == self.failureDomain) {
      demands.push_back({ peer.address, peerDemand });
    }
  }
  const auto ownSupply = supply.find(self.failureDomain);
  const auto slots =
    isDemandComplete
      ? admission::DomainSlots(self.failureDomain, demand, supply)
      : (ownSupply == supply.end() ? 0.0 : ownSupply->second);
  return admission::SlotShare(slots, self.address, demands);
}

auto CapacityAllocator::Update() -> void
{
  const auto lists = m_lists.Current();
  if (!lists) {
    return;
  }
  for (const auto& [name, service] : lists->services) {
    m_targets.SetSlots(name, service.slots);
    if (m_targets.SlotsOf(name) > 0) {
      m_admission.SetCapacity(name, MinRecentShare(name, ComputeShare(name)));
    }
  }
  AssignOwnSlots();
}

} // namespace bramleylock::kernel
