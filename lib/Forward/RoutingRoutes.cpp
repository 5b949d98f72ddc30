// Applies the routes of readings and updates to the route table.

#include "bramleylock/Forward/RoutingState.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::forward {

auto RoutingState::InstallRoutes(const RouteSet& aRoutes, const char* aSource,
                                 Clock::time_point aNow) -> bool
{
  const auto before = m_routes.Current().version;
  if (!m_routes.Install(aRoutes, aNow)) {
    if (aRoutes.version < before) {
      m_metrics.Add(Counter::RoutesOlder);
      LogWarning("routes-older",
                 { { "from", aSource },
                   { "version", std::to_string(aRoutes.version) },
                   { "in_force", std::to_string(before) },
                   { "revision", FormatRevision(aRoutes.revision) } });
    }
    return false;
  }
  m_metrics.Add(Counter::RoutesInstalled);
  m_metrics.SetGauge("routes_version", static_cast<double>(aRoutes.version));
  LogInfo("routes-installed",
          { { "from", aSource },
            { "version", std::to_string(aRoutes.version) },
            { "before", std::to_string(before) },
            { "revision", FormatRevision(aRoutes.revision) },
            { "routes", std::to_string(aRoutes.routes.size()) } });
  for (const auto& record : m_heldTargets.Release(m_routes)) {
    ApplyTarget(record, aSource, aNow);
  }
  return true;
}

/// Installs the routes of a reading and adds to aUpdate what the peers have to
/// know of them: the changes if they are small, and the services that earlier
/// versions allowed.
auto RoutingState::ApplyReadRoutes(const StateReading& aReading,
                                   RoutingUpdate& aUpdate,
                                   Clock::time_point aNow) -> void
{
  const auto before = aReading.routes ? m_routes.Current() : RouteSet();
  const bool installed =
    aReading.routes && InstallRoutes(*aReading.routes, "store", aNow);
  if (installed) {
    if (auto change = DifferenceOf(before, *aReading.routes)) {
      aUpdate.routeChanges.push_back(std::move(*change));
    } else {
      aUpdate.routes.push_back(*aReading.routes);
    }
  }
  const bool full = aUpdate.baseRevision.number == 0;
  if (full || aReading.formerShares) {
    m_recordedShares =
      aReading.formerShares.value_or(std::vector<FormerShare>());
    m_routes.AddFormerShares(m_recordedShares, aNow);
  }
  if (installed || aReading.formerShares) {
    aUpdate.formerShares = m_routes.FormerShares(aNow);
  }
}

auto RoutingState::SharesToRecord() const
  -> std::optional<std::vector<FormerShare>>
{
  auto shares = m_routes.SharesToRecord();
  return shares == m_recordedShares ? std::nullopt
                                    : std::optional(std::move(shares));
}

auto RoutingState::ApplyPeerRoutes(const RoutingUpdate& aUpdate,
                                   Clock::time_point aNow) -> void
{
  for (const auto& routes : aUpdate.routes) {
    InstallRoutes(routes, "peer", aNow);
  }
  for (const auto& change : aUpdate.routeChanges) {
    // A receiver with another version requests the routes, because the version
    // of the sender is higher than its own.
    if (change.baseVersion == m_routes.Current().version &&
        change.version > change.baseVersion) {
      m_metrics.Add(Counter::RouteChangesApplied);
      InstallRoutes(ApplyChange(m_routes.Current(), change), "peer", aNow);
    }
  }
  m_routes.AddFormerShares(aUpdate.formerShares, aNow);
}

} // namespace bramleylock::forward
