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
  ReleaseHeldTargets(aSource, aNow);
  return true;
}

/// Applies the records of targets whose service is named now.
auto RoutingState::ReleaseHeldTargets(const char* aSource,
                                      Clock::time_point aNow) -> void
{
  for (const auto& record : m_heldTargets.Release(m_routes)) {
    ApplyTarget(record, aSource, aNow);
  }
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
  }
  if (m_readAt == Clock::time_point{} && aReading.formerShares) {
    // The record has no times. At a later reading, what it lists is known here,
    // or has expired.
    m_routes.AddFormerShares(*aReading.formerShares, aNow);
    ReleaseHeldTargets("store", aNow);
  }
  if (installed || full) {
    aUpdate.formerShares = m_routes.FormerShares(aNow);
  }
}

auto RoutingState::SharesToRecord() const
  -> std::optional<std::vector<FormerShare>>
{
  auto shares = m_routes.SharesToRecord();
  // If the record is unknown, one that has become empty may stay: its services
  // expire at each balancer that reads it.
  const bool recorded =
    m_recordedShares ? shares == *m_recordedShares : shares.empty();
  return recorded ? std::nullopt : std::optional(std::move(shares));
}

auto RoutingState::ForgetRecordedShares() -> void
{
  m_recordedShares.reset();
}

auto RoutingState::ApplyPeerRoutes(const RoutingUpdate& aUpdate,
                                   Clock::time_point aNow) -> void
{
  for (const auto& routes : aUpdate.routes) {
    InstallRoutes(routes, "peer", aNow);
  }
  for (const auto& change : aUpdate.routeChanges) {
    // A receiver with other routes requests the whole, because the version of
    // the sender is higher than its own.
    if (AppliesTo(change, m_routes.Current())) {
      m_metrics.Add(Counter::RouteChangesApplied);
      InstallRoutes(ApplyChange(m_routes.Current(), change), "peer", aNow);
    }
  }
  if (!aUpdate.formerShares.empty()) {
    m_routes.AddFormerShares(aUpdate.formerShares, aNow);
    ReleaseHeldTargets("peer", aNow);
  }
}

} // namespace bramleylock::forward
