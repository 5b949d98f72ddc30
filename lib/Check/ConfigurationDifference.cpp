// Compares a configuration with the version in force, by the entries that
// forward::RouteTable uses of each.

#include "bramleylock/Check/ConfigurationCheck.h"

#include <map>

#include <fmt/format.h>

namespace bramleylock::check {

using forward::Address;
using forward::FormatAddress;
using forward::Route;
using forward::RouteSet;
using forward::ServiceInfo;

/// Collects the findings of a comparison.
class Differences
{
public:
  explicit Differences(std::vector<Finding>& aFindings)
    : m_findings(aFindings)
  {
  }

  auto Add(Severity aSeverity, const Position& aPosition, std::string aMessage)
    -> void
  {
    m_findings.push_back({ aSeverity, aPosition, std::move(aMessage), {} });
  }

  /// Adds a note if a value differs.
  template<typename Value>
  auto Compare(const Position& aPosition, const std::string& aWhat,
               const Value& aOld, const Value& aNew) -> void
  {
    if (aOld != aNew) {
      Add(Severity::Note, aPosition,
          fmt::format("{} changes from {} to {}", aWhat, aOld, aNew));
    }
  }

private:
  std::vector<Finding>& m_findings;
};

static auto IndexByAddress(const std::vector<Route>& aRoutes)
  -> std::map<Address, std::size_t>
{
  std::map<Address, std::size_t> indexes;
  for (std::size_t index = 0; index < aRoutes.size(); ++index) {
    indexes[aRoutes[index].EndpointAddress()] = index;
  }
  return indexes;
}

static auto IndexByName(const std::vector<ServiceInfo>& aServices)
  -> std::map<std::string, std::size_t>
{
  std::map<std::string, std::size_t> indexes;
  for (std::size_t index = 0; index < aServices.size(); ++index) {
    indexes.emplace(aServices[index].name, index);
  }
  return indexes;
}

/// Returns the total weight of each service of a route.
static auto WeightsOf(const Route& aRoute)
  -> std::map<std::string, std::uint64_t>
{
  std::map<std::string, std::uint64_t> weights;
  for (const auto& share : aRoute.shares) {
    weights[share.service] += share.weight;
  }
  return weights;
}

static auto CompareShares(const Route& aOld, const Route& aNew,
                          const RoutePositions& aPositions,
                          Differences& aDifferences) -> void
{
  auto oldWeights = WeightsOf(aOld);
  const auto newWeights = WeightsOf(aNew);
  for (std::size_t index = 0; index < aNew.shares.size(); ++index) {
    const auto& service = aNew.shares[index].service;
    const auto old = oldWeights.find(service);
    if (old == oldWeights.end()) {
      aDifferences.Add(Severity::Note, aPositions.shares[index].service,
                       fmt::format("service \"{}\" is added to route \"{}\"",
                                   service, aNew.name));
      // Reports a service that the route names again only once.
      oldWeights.emplace(service, newWeights.at(service));
      continue;
    }
    aDifferences.Compare(aPositions.shares[index].weight,
                         fmt::format("the weight of service \"{}\"", service),
                         old->second, newWeights.at(service));
    old->second = newWeights.at(service);
  }
  for (const auto& share : aOld.shares) {
    if (!newWeights.contains(share.service) &&
        oldWeights.erase(share.service) > 0) {
      aDifferences.Add(
        Severity::Note, aPositions.row,
        fmt::format("service \"{}\" is taken off route \"{}\": its open flows "
                    "go on, and it gets no new ones",
                    share.service, aNew.name));
    }
  }
}

static auto CompareRoute(const Route& aOld, const Route& aNew,
                         const RoutePositions& aPositions,
                         Differences& aDifferences) -> void
{
  aDifferences.Compare(aPositions.row, "the name of the route", aOld.name,
                       aNew.name);
  aDifferences.Compare(aPositions.row, "the kind of requests",
                       NameOf(forward::kRequestKindNames, aOld.Kind()),
                       NameOf(forward::kRequestKindNames, aNew.Kind()));
  aDifferences.Compare(aPositions.row, "the urgency", aOld.urgency,
                       aNew.urgency);
  aDifferences.Compare(aPositions.timeout, "the timeout in ms", aOld.timeoutMs,
                       aNew.timeoutMs);
  aDifferences.Compare(aPositions.latencyGoal, "the latency goal in ms",
                       aOld.responseGoalMs, aNew.responseGoalMs);
  CompareShares(aOld, aNew, aPositions, aDifferences);
}

static auto CompareRoutes(const Configuration& aConfiguration,
                          const RouteSet& aInForce, Differences& aDifferences)
  -> void
{
  const auto& routes = aConfiguration.routeSet.routes;
  const auto oldIndexes = IndexByAddress(aInForce.routes);
  const auto newIndexes = IndexByAddress(routes);
  for (const auto& [address, index] : newIndexes) {
    const auto& positions = aConfiguration.routePositions[index];
    const auto old = oldIndexes.find(address);
    if (old == oldIndexes.end()) {
      aDifferences.Add(Severity::Note, positions.row,
                       fmt::format("route \"{}\" at {} is added",
                                   routes[index].name, FormatAddress(address)));
    } else {
      CompareRoute(aInForce.routes[old->second], routes[index], positions,
                   aDifferences);
    }
  }
  for (const auto& [address, index] : oldIndexes) {
    if (!newIndexes.contains(address)) {
      aDifferences.Add(
        Severity::Warning, aConfiguration.routes,
        fmt::format("route \"{}\" at {} is removed: its open flows are reset",
                    aInForce.routes[index].name, FormatAddress(address)));
    }
  }
}

static auto CompareServices(const Configuration& aConfiguration,
                            const RouteSet& aInForce, Differences& aDifferences)
  -> void
{
  const auto& services = aConfiguration.routeSet.services;
  const auto oldIndexes = IndexByName(aInForce.services);
  for (const auto& [name, index] : IndexByName(services)) {
    const auto old = oldIndexes.find(name);
    if (old == oldIndexes.end()) {
      continue;
    }
    const auto& before = aInForce.services[old->second];
    const auto& after = services[index];
    const auto& positions = aConfiguration.servicePositions[index];
    aDifferences.Compare(positions.row, "the path of the health check",
                         before.healthPath, after.healthPath);
    aDifferences.Compare(positions.row, "the maximum number of flows",
                         before.maxFlowsPerTarget, after.maxFlowsPerTarget);
    aDifferences.Compare(positions.row, "the warm-up time in ms",
                         before.warmUpMs, after.warmUpMs);
    aDifferences.Compare(positions.warmUpLimit,
                         "the limit of requests per second in the warm-up time",
                         before.warmUpRequestsPerSecond,
                         after.warmUpRequestsPerSecond);
  }
}

auto CompareWithInForce(const Configuration& aConfiguration,
                        const RouteSet& aInForce,
                        std::vector<Finding>& aFindings) -> void
{
  Differences differences(aFindings);
  const auto version = aConfiguration.routeSet.version;
  if (version <= aInForce.version) {
    differences.Add(
      Severity::Error, aConfiguration.version,
      fmt::format("version {} is not above version {}, which is in force, so "
                  "balancers would ignore it",
                  version, aInForce.version));
  }
  CompareRoutes(aConfiguration, aInForce, differences);
  CompareServices(aConfiguration, aInForce, differences);
  if (aConfiguration.idleTimeout) {
    differences.Compare(*aConfiguration.idleTimeout, "the idle timeout in ms",
                        aInForce.idleTimeoutMs,
                        aConfiguration.routeSet.idleTimeoutMs);
  }
}

} // namespace bramleylock::check
