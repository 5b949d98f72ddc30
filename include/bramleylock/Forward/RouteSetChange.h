// Difference between two versions of the routes, for transmission to peers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/RouteTable.h"

namespace bramleylock::forward {

/// Route address whose route was removed.
struct RemovedRoute
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  MSGPACK_DEFINE_ARRAY(ip, port)
};

/// Changes by which a version of the routes differs from an earlier one.
struct RouteSetChange
{
  /// The version to which the changes apply.
  std::uint64_t baseVersion = 0;
  /// Its store revision: after a restore of the store, operators may give the
  /// same version to other routes.
  StoreRevision baseRevision;
  std::uint64_t version = 0;
  /// Store revision of the new version.
  StoreRevision revision;
  std::uint32_t idleTimeoutMs = 0;
  /// Routes that were added or changed.
  std::vector<Route> routes;
  std::vector<RemovedRoute> removedRoutes;
  /// Services that were added or changed.
  std::vector<ServiceInfo> services;
  std::vector<std::string> removedServices;
  MSGPACK_DEFINE_ARRAY(baseVersion, baseRevision.number,
                       baseRevision.generation, version, revision.number,
                       revision.generation, idleTimeoutMs, routes,
                       removedRoutes, services, removedServices)
};

/// Returns the changes from aBase to aNew, or nothing if they cannot be
/// expressed or are not much smaller than aNew itself.
auto DifferenceOf(const RouteSet& aBase, const RouteSet& aNew)
  -> std::optional<RouteSetChange>;

/// Returns whether aChange was made from aBase.
auto AppliesTo(const RouteSetChange& aChange, const RouteSet& aBase) -> bool;

/// Returns the version that results from aChange, which must apply to aBase.
auto ApplyChange(const RouteSet& aBase, const RouteSetChange& aChange)
  -> RouteSet;

} // namespace bramleylock::forward
