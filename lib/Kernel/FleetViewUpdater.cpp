// Collects the members and failure domains that share the plans' limits.

#include "bramleylock/Kernel/FleetViewUpdater.h"

#include <algorithm>
#include <set>

namespace bramleylock::kernel {

/// For this long after its start, a balancer also counts the candidates of its
/// failure domain, which it does not know to be alive yet. Otherwise it would
/// use the share of its whole failure domain until it has received messages
/// from the other members.
static constexpr Milliseconds kStartGracePeriod{ 3000 };

FleetViewUpdater::FleetViewUpdater(peer::Membership& aMembers,
                                   target::TargetTable& aTargets,
                                   admission::PlanLimits& aLimits)
  : m_members(aMembers)
  , m_targets(aTargets)
  , m_limits(aLimits)
{
}

auto FleetViewUpdater::Update() -> void
{
  const auto& self = m_members.Self();
  m_limits.SetFleetView(
    { self.address, self.failureDomain, FailureDomains(), MemberAddresses() });
}

/// Draining balancers are included, since they still run requests of their
/// flows.
auto FleetViewUpdater::MemberAddresses() const -> std::vector<std::string>
{
  const auto& self = m_members.Self();
  const bool inStartGracePeriod =
    Clock::now() < m_startedAt + kStartGracePeriod;
  std::vector<std::string> addresses{ self.address };
  for (const auto& member : m_members.AllMembers()) {
    const bool listed =
      inStartGracePeriod && member.state == peer::MemberState::Candidate;
    if (member.failureDomain == self.failureDomain &&
        (listed || peer::IsReachable(member.state))) {
      addresses.push_back(member.address);
    }
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

/// Failure domains with targets or balancers, including unreachable ones: the
/// share of a domain must not grow during a network partition.
auto FleetViewUpdater::FailureDomains() const -> std::vector<std::string>
{
  std::set<std::string> domains;
  for (const auto& [domain, alive] : m_members.AliveByDomain()) {
    domains.insert(domain);
  }
  for (const auto& domain : m_members.LostDomains()) {
    domains.insert(domain);
  }
  for (const auto& [address, target] : m_targets.All()) {
    domains.insert(target->failureDomain);
  }
  return { domains.begin(), domains.end() };
}

} // namespace bramleylock::kernel
