// Installs versions of the routes and tracks what earlier versions allowed.

#include "bramleylock/Forward/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace bramleylock::forward {

auto RouteTable::Install(RouteSet aSet, Clock::time_point aNow) -> bool
{
  if (aSet.version <= m_set.version) {
    return false;
  }
  for (const auto& route : m_set.routes) {
    for (const auto& share : route.shares) {
      m_allowed[route.At()][share.service] = aNow;
    }
  }
  m_firstEnded = std::min(m_firstEnded, aNow);
  m_set = std::move(aSet);
  m_since = aNow;
  m_services.clear();
  for (std::size_t index = 0; index < m_set.services.size(); ++index) {
    m_services.emplace(m_set.services[index].name, index);
  }
  m_byAddress.clear();
  for (std::size_t index = 0; index < m_set.routes.size(); ++index) {
    const auto& route = m_set.routes[index];
    m_byAddress[route.At()] = index;
    for (const auto& share : route.shares) {
      m_allowed[route.At()][share.service] = Clock::time_point::max();
    }
  }
  return true;
}

auto RouteTable::StateOf(const Address& aService) const -> RouteState
{
  if (m_byAddress.contains(aService)) {
    return RouteState::InForce;
  }
  return m_allowed.contains(aService) ? RouteState::Removed
                                      : RouteState::Unknown;
}

auto RouteTable::Find(const Address& aService) const -> const Route*
{
  const auto found = m_byAddress.find(aService);
  return found == m_byAddress.end() ? nullptr : &m_set.routes[found->second];
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
  auto place = FlowIdHash{}(aFlow) % total;
  for (const auto& share : aRoute.shares) {
    if (place < share.weight) {
      return share.service;
    }
    place -= share.weight;
  }
  return aRoute.shares.back().service;
}

auto RouteTable::Allows(const Address& aService,
                        const std::string& aTargetService) const -> bool
{
  const auto found = m_allowed.find(aService);
  return found != m_allowed.end() && found->second.contains(aTargetService);
}

auto RouteTable::Expire(Clock::duration aKeep, Clock::time_point aNow) -> void
{
  const auto limit = aNow - aKeep;
  if (m_firstEnded >= limit) {
    return;
  }
  m_firstEnded = Clock::time_point::max();
  for (auto& [address, services] : m_allowed) {
    std::erase_if(services,
                  [limit](const auto& aRow) { return aRow.second < limit; });
    for (const auto& [service, until] : services) {
      m_firstEnded = std::min(m_firstEnded, until);
    }
  }
  std::erase_if(m_allowed,
                [](const auto& aRow) { return aRow.second.empty(); });
}

auto RouteTable::HealthPath(const std::string& aService) const -> std::string
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? std::string()
                                   : m_set.services[found->second].healthPath;
}

auto RouteTable::MostFlows(const std::string& aService) const -> std::uint32_t
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? 0
                                   : m_set.services[found->second].mostFlows;
}

auto RouteTable::Current() const -> const RouteSet&
{
  return m_set;
}

auto RouteTable::InForceSince() const -> Clock::time_point
{
  return m_since;
}

} // namespace bramleylock::forward
