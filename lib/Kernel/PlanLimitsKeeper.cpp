// The members and failure domains that the plans' limits are dealt to.

#include "bramleylock/Kernel/PlanLimitsKeeper.h"

#include <algorithm>
#include <set>

namespace bramleylock::kernel {

/// A balancer that has just started takes those that the platform lists for
/// alive. It would else hold the share of its whole failure domain until it
/// has heard of the others.
static constexpr Milliseconds kBelieveListed{ 3000 };

PlanLimitsKeeper::PlanLimitsKeeper(peer::Membership& aMembers,
                                   target::TargetTable& aTargets,
                                   admission::PlanLimits& aLimits)
  : m_members(aMembers)
  , m_targets(aTargets)
  , m_limits(aLimits)
{
}

auto PlanLimitsKeeper::Update() -> void
{
  const auto& self = m_members.Self();
  m_limits.SetFleetView(
    { self.address, self.failureDomain, FailureDomains(), Members() });
}

/// Draining balancers count: they still run requests of their flows.
auto PlanLimitsKeeper::Members() const -> std::vector<std::string>
{
  const auto& self = m_members.Self();
  const bool believe = Clock::now() < m_startedAt + kBelieveListed;
  std::vector<std::string> addresses{ self.address };
  for (const auto& member : m_members.All()) {
    const bool listed = believe && member.state == peer::MemberState::Candidate;
    if (member.failureDomain == self.failureDomain &&
        (listed || peer::Reachable(member.state))) {
      addresses.push_back(member.address);
    }
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

/// Failure domains with targets or balancers, also those that are cut off: a
/// domain's share must not grow in a cut.
auto PlanLimitsKeeper::FailureDomains() const -> std::vector<std::string>
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
