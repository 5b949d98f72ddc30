// Installs versions of the routes and tracks what earlier versions allowed.

#include "bramleylock/Forward/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace bramleylock::forward {

auto RouteTable::Install(RouteSet aSet, Clock::time_point aNow) -> bool
{
  if (aSet.version <= m_routeSet.version) {
    return false;
  }
  for (const auto& route : m_routeSet.routes) {
    for (const auto& share : route.shares) {
      m_allowedUntil[route.EndpointAddress()][share.service] = aNow;
    }
  }
  m_earliestEnd = std::min(m_earliestEnd, aNow);
  m_routeSet = std::move(aSet);
  m_installedAt = aNow;
  m_services.clear();
  m_namedServices.clear();
  for (std::size_t index = 0; index < m_routeSet.services.size(); ++index) {
    m_services.emplace(m_routeSet.services[index].name, index);
    m_namedServices.insert(m_routeSet.services[index].name);
  }
  m_byAddress.clear();
  for (std::size_t index = 0; index < m_routeSet.routes.size(); ++index) {
    const auto& route = m_routeSet.routes[index];
    m_byAddress[route.EndpointAddress()] = index;
    for (const auto& share : route.shares) {
      m_allowedUntil[route.EndpointAddress()][share.service] =
        Clock::time_point::max();
      m_namedServices.insert(share.service);
    }
  }
  for (const auto& [address, services] : m_allowedUntil) {
    for (const auto& [service, until] : services) {
      m_namedServices.insert(service);
    }
  }
  return true;
}

auto RouteTable::StateOf(const Address& aService) const -> RouteState
{
  if (m_byAddress.contains(aService)) {
    return RouteState::InForce;
  }
  return m_allowedUntil.contains(aService) ? RouteState::Removed
                                           : RouteState::Unknown;
}

auto RouteTable::Find(const Address& aService) const -> const Route*
{
  const auto found = m_byAddress.find(aService);
  return found == m_byAddress.end() ? nullptr
                                    : &m_routeSet.routes[found->second];
}

auto RouteTable::ServiceFor(const Route& aRoute, const FlowId& aFlow) const
  -> const std::string&
{
  assert(!aRoute.shares.empty());
  const auto total = std::accumulate(
    aRoute.shares.begin(), aRoute.shares.end(), std::uint64_t{ 0 },
    [](std::uint64_t aSum, const RouteShare& aShare) {
      return aSum + aShare.weight;
    });
  if (total == 0) {
    return aRoute.shares.front().service;
  }
  auto point = FlowIdHash{}(aFlow) % total;
  for (const auto& share : aRoute.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return aRoute.shares.back().service;
}

auto RouteTable::Allows(const Address& aService,
                        const std::string& aTargetService) const -> bool
{
  const auto found = m_allowedUntil.find(aService);
  return found != m_allowedUntil.end() &&
         found->second.contains(aTargetService);
}

auto RouteTable::NamesService(const std::string& aService) const -> bool
{
  return m_namedServices.contains(aService);
}

auto RouteTable::FormerShares(Clock::time_point aNow) const
  -> std::vector<FormerShare>
{
  std::vector<FormerShare> shares;
  for (const auto& [address, services] : m_allowedUntil) {
    if (!m_byAddress.contains(address)) {
      continue;
    }
    for (const auto& [service, until] : services) {
      if (until <= aNow) {
        const auto age = std::chrono::duration_cast<Milliseconds>(aNow - until);
        shares.push_back({ address.ip, address.port, service,
                           static_cast<std::uint32_t>(age.count()) });
      }
    }
  }
  if (shares.size() > kMaxFormerShares) {
    std::nth_element(shares.begin(), shares.begin() + kMaxFormerShares,
                     shares.end(),
                     [](const FormerShare& aLeft, const FormerShare& aRight) {
                       return aLeft.ageMs < aRight.ageMs;
                     });
    shares.resize(kMaxFormerShares);
  }
  return shares;
}

auto RouteTable::AddFormerShares(const std::vector<FormerShare>& aShares,
                                 Clock::time_point aNow) -> void
{
  const auto count = std::min(aShares.size(), kMaxFormerShares);
  for (std::size_t index = 0; index < count; ++index) {
    const auto& share = aShares[index];
    const Address address{ share.ip, share.port };
    if (!m_byAddress.contains(address)) {
      continue;
    }
    const auto until = aNow - Milliseconds(share.ageMs);
    const auto [position, isNew] =
      m_allowedUntil[address].try_emplace(share.service, until);
    if (isNew) {
      m_earliestEnd = std::min(m_earliestEnd, until);
      // Targets of a service that the version in force does not name would be
      // kept out of the directory.
      m_namedServices.insert(share.service);
    }
  }
}

auto RouteTable::SharesToRecord() const -> std::vector<FormerShare>
{
  std::vector<FormerShare> former;
  std::vector<FormerShare> inForce;
  for (const auto& [address, services] : m_allowedUntil) {
    if (services.size() < 2 || !m_byAddress.contains(address)) {
      continue;
    }
    for (const auto& [service, until] : services) {
      const bool ended = until != Clock::time_point::max();
      (ended ? former : inForce)
        .push_back({ address.ip, address.port, service, 0 });
    }
  }
  // The configuration lists those in force as well.
  former.insert(former.end(), inForce.begin(), inForce.end());
  former.resize(std::min(former.size(), kMaxFormerShares));
  std::sort(former.begin(), former.end());
  return former;
}

auto RouteTable::Expire(Clock::duration aKeep, Clock::time_point aNow) -> void
{
  const auto limit = aNow - aKeep;
  if (m_earliestEnd >= limit) {
    return;
  }
  m_earliestEnd = Clock::time_point::max();
  for (auto& [address, services] : m_allowedUntil) {
    std::erase_if(services,
                  [limit](const auto& aRow) { return aRow.second < limit; });
    for (const auto& [service, until] : services) {
      m_earliestEnd = std::min(m_earliestEnd, until);
    }
  }
  std::erase_if(m_allowedUntil,
                [](const auto& aRow) { return aRow.second.empty(); });
}

auto RouteTable::HealthPath(const std::string& aService) const -> std::string
{
  const auto found = m_services.find(aService);
  return found == m_services.end()
           ? std::string()
           : m_routeSet.services[found->second].healthPath;
}

auto RouteTable::MaxFlowsPerTarget(const std::string& aService) const
  -> std::uint32_t
{
  const auto found = m_services.find(aService);
  return found == m_services.end()
           ? 0
           : m_routeSet.services[found->second].maxFlowsPerTarget;
}

auto RouteTable::WarmUpLimit(const std::string& aService) const -> double
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return 0;
  }
  const auto& service = m_routeSet.services[found->second];
  return service.warmUpMs > 0 ? service.warmUpRequestsPerSecond : 0;
}

auto RouteTable::WarmUpTime(const std::string& aService) const -> Milliseconds
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return Milliseconds(0);
  }
  const auto& service = m_routeSet.services[found->second];
  return Milliseconds(service.warmUpRequestsPerSecond > 0 ? service.warmUpMs
                                                          : 0);
}

auto RouteTable::HasWarmUpLimits() const -> bool
{
  return std::any_of(m_routeSet.services.begin(), m_routeSet.services.end(),
                     [](const ServiceInfo& aService) {
                       return aService.warmUpRequestsPerSecond > 0;
                     });
}

auto RouteTable::Current() const -> const RouteSet&
{
  return m_routeSet;
}

auto RouteTable::InForceSince() const -> Clock::time_point
{
  return m_installedAt;
}

} // namespace bramleylock::forward
