// Finds unused entries and contradicting limits in one configuration. Follows
// the rules of forward::RouteTable.

#include "bramleylock/Check/ConfigurationCheck.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>

#include <fmt/format.h>

namespace bramleylock::check {

using forward::Address;
using forward::FormatAddress;

static auto Warn(std::vector<Finding>& aFindings, const Position& aPosition,
                 std::string aMessage) -> void
{
  aFindings.push_back(
    { Severity::Warning, aPosition, std::move(aMessage), {} });
}

/// RouteTable::Install uses the last route of several with the same address.
static auto CheckAddresses(const Configuration& aConfiguration,
                           std::vector<Finding>& aFindings) -> void
{
  const auto& routes = aConfiguration.routeSet.routes;
  std::map<Address, std::size_t> usedRoutes;
  for (std::size_t index = 0; index < routes.size(); ++index) {
    usedRoutes[routes[index].EndpointAddress()] = index;
  }
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const auto address = routes[index].EndpointAddress();
    const auto used = usedRoutes.at(address);
    if (used != index) {
      const auto& usedRow = aConfiguration.routePositions[used].row;
      Warn(aFindings, aConfiguration.routePositions[index].address,
           fmt::format("route \"{}\" is never used: {} (line {}) has the same "
                       "address {}, and balancers use the last one",
                       routes[index].name, usedRow.key, usedRow.line,
                       FormatAddress(address)));
    }
  }
}

static auto CheckWeights(const forward::Route& aRoute,
                         const RoutePositions& aPositions,
                         std::vector<Finding>& aFindings) -> void
{
  assert(aRoute.shares.size() == aPositions.shares.size());
  const bool allZero =
    std::all_of(aRoute.shares.begin(), aRoute.shares.end(),
                [](const auto& aShare) { return aShare.weight == 0; });
  if (allZero && !aRoute.shares.empty()) {
    Warn(aFindings, aPositions.shares.front().weight,
         fmt::format("all weights of route \"{}\" are 0, so service \"{}\" "
                     "gets all new flows, because it is the first",
                     aRoute.name, aRoute.shares.front().service));
    return;
  }
  for (std::size_t index = 0; index < aRoute.shares.size(); ++index) {
    if (aRoute.shares[index].weight == 0) {
      Warn(aFindings, aPositions.shares[index].weight,
           fmt::format("service \"{}\" has weight 0 and never gets a new flow "
                       "of route \"{}\"",
                       aRoute.shares[index].service, aRoute.name));
    }
  }
}

static auto CheckRouteLimits(const forward::Route& aRoute,
                             const RoutePositions& aPositions,
                             std::uint64_t aLongestFlowMs,
                             std::vector<Finding>& aFindings) -> void
{
  if (aRoute.timeoutMs > 0 && aRoute.responseGoalMs > aRoute.timeoutMs) {
    Warn(aFindings, aPositions.latencyGoal,
         fmt::format("the latency goal of {} ms is above the timeout of {} ms",
                     aRoute.responseGoalMs, aRoute.timeoutMs));
  }
  if (aRoute.timeoutMs > aLongestFlowMs) {
    Warn(aFindings, aPositions.timeout,
         fmt::format("the timeout of {} ms is above the maximum lifetime of a "
                     "flow, {} ms",
                     aRoute.timeoutMs, aLongestFlowMs));
  }
}

static auto CheckServices(const Configuration& aConfiguration,
                          const std::set<std::string>& aServicesOfRoutes,
                          std::vector<Finding>& aFindings) -> void
{
  const auto& services = aConfiguration.routeSet.services;
  std::map<std::string, std::size_t> usedServices;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const auto& service = services[index];
    const auto& positions = aConfiguration.servicePositions[index];
    // RouteTable::Install uses the first service of several with one name.
    const auto [used, isFirst] = usedServices.emplace(service.name, index);
    if (!isFirst) {
      const auto& usedRow = aConfiguration.servicePositions[used->second].row;
      Warn(
        aFindings, positions.row,
        fmt::format("service \"{}\" is never used: {} (line {}) has the same "
                    "name, and balancers use the first one",
                    service.name, usedRow.key, usedRow.line));
    } else if (!aServicesOfRoutes.contains(service.name)) {
      Warn(aFindings, positions.row,
           fmt::format("no route names service \"{}\"", service.name));
    }
    if (service.warmUpRequestsPerSecond > 0 && service.warmUpMs == 0) {
      Warn(aFindings, positions.warmUpLimit,
           fmt::format("service \"{}\" limits the requests to targets that "
                       "warm up, but has no warm-up time",
                       service.name));
    }
  }
}

static auto CheckIdleTimeout(const Configuration& aConfiguration,
                             std::uint64_t aLongestFlowMs,
                             std::vector<Finding>& aFindings) -> void
{
  if (!aConfiguration.idleTimeout) {
    return;
  }
  const auto idleTimeoutMs = aConfiguration.routeSet.idleTimeoutMs;
  if (idleTimeoutMs == 0) {
    Warn(aFindings, *aConfiguration.idleTimeout,
         fmt::format("the idle timeout is 0, so balancers track a flow without "
                     "packets for its maximum lifetime, {} ms",
                     aLongestFlowMs));
  } else if (idleTimeoutMs > aLongestFlowMs) {
    Warn(aFindings, *aConfiguration.idleTimeout,
         fmt::format("the idle timeout of {} ms is above the maximum lifetime "
                     "of a flow, {} ms",
                     idleTimeoutMs, aLongestFlowMs));
  }
}

auto CheckConfiguration(const Configuration& aConfiguration,
                        std::uint64_t aLongestFlowMs,
                        std::vector<Finding>& aFindings) -> void
{
  const auto& routeSet = aConfiguration.routeSet;
  assert(routeSet.routes.size() == aConfiguration.routePositions.size());
  assert(routeSet.services.size() == aConfiguration.servicePositions.size());
  std::set<std::string> services;
  for (const auto& service : routeSet.services) {
    services.insert(service.name);
  }
  std::set<std::string> servicesOfRoutes;
  CheckAddresses(aConfiguration, aFindings);
  for (std::size_t index = 0; index < routeSet.routes.size(); ++index) {
    const auto& route = routeSet.routes[index];
    const auto& positions = aConfiguration.routePositions[index];
    CheckWeights(route, positions, aFindings);
    CheckRouteLimits(route, positions, aLongestFlowMs, aFindings);
    for (std::size_t share = 0; share < route.shares.size(); ++share) {
      const auto& service = route.shares[share].service;
      servicesOfRoutes.insert(service);
      if (!services.contains(service)) {
        Warn(aFindings, positions.shares[share].service,
             fmt::format("route \"{}\" names service \"{}\", which the list of "
                         "services lacks",
                         route.name, service));
      }
    }
  }
  CheckServices(aConfiguration, servicesOfRoutes, aFindings);
  CheckIdleTimeout(aConfiguration, aLongestFlowMs, aFindings);
}

} // namespace bramleylock::check
