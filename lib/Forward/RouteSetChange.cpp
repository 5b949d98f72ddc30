// Computes and applies differences between versions of the routes.

#include "bramleylock/Forward/RouteSetChange.h"

#include <cassert>
#include <map>

namespace bramleylock::forward {

/// A change is sent instead of the routes if it has at most one row for this
/// many rows of the new version.
static constexpr std::size_t kMinRowsPerChange = 4;

static auto KeyOf(const Route& aRoute)
  -> std::pair<std::uint32_t, std::uint16_t>
{
  return { aRoute.ip, aRoute.port };
}

static auto KeyOf(const RemovedRoute& aRoute)
  -> std::pair<std::uint32_t, std::uint16_t>
{
  return { aRoute.ip, aRoute.port };
}

static auto KeyOf(const ServiceInfo& aService) -> std::string
{
  return aService.name;
}

static auto KeyOf(const std::string& aService) -> const std::string&
{
  return aService;
}

/// Adds the rows of aNew that aBase lacks or has differently to aChanged, and
/// calls aOnRemoved for the rows that aNew lacks. Returns false if two rows of
/// one list have the same key.
template<typename Row, typename OnRemoved>
static auto CompareRows(const std::vector<Row>& aBase,
                        const std::vector<Row>& aNew,
                        std::vector<Row>& aChanged, OnRemoved aOnRemoved)
  -> bool
{
  std::map<decltype(KeyOf(aBase.front())), const Row*> before;
  for (const auto& row : aBase) {
    before[KeyOf(row)] = &row;
  }
  if (before.size() != aBase.size()) {
    return false;
  }
  std::map<decltype(KeyOf(aNew.front())), const Row*> after;
  for (const auto& row : aNew) {
    after[KeyOf(row)] = &row;
    const auto known = before.find(KeyOf(row));
    if (known == before.end() || !(*known->second == row)) {
      aChanged.push_back(row);
    }
  }
  for (const auto& row : aBase) {
    if (!after.contains(KeyOf(row))) {
      aOnRemoved(row);
    }
  }
  return after.size() == aNew.size();
}

/// Replaces the changed rows of aRows, removes the rows in aRemoved and appends
/// new ones.
template<typename Row, typename Removed>
static auto ChangeRows(std::vector<Row> aRows, const std::vector<Row>& aChanged,
                       const std::vector<Removed>& aRemoved) -> std::vector<Row>
{
  std::map<std::decay_t<decltype(KeyOf(aRows.front()))>, std::size_t> positions;
  for (std::size_t index = 0; index < aRows.size(); ++index) {
    positions[KeyOf(aRows[index])] = index;
  }
  for (const auto& row : aChanged) {
    const auto known = positions.find(KeyOf(row));
    if (known == positions.end()) {
      aRows.push_back(row);
    } else {
      aRows[known->second] = row;
    }
  }
  for (const auto& removed : aRemoved) {
    std::erase_if(aRows, [&removed](const Row& aRow) {
      return KeyOf(aRow) == KeyOf(removed);
    });
  }
  return aRows;
}

auto DifferenceOf(const RouteSet& aBase, const RouteSet& aNew)
  -> std::optional<RouteSetChange>
{
  RouteSetChange change;
  change.baseVersion = aBase.version;
  change.baseRevision = aBase.revision;
  change.version = aNew.version;
  change.revision = aNew.revision;
  change.idleTimeoutMs = aNew.idleTimeoutMs;
  const bool comparable =
    CompareRows(aBase.routes, aNew.routes, change.routes,
                [&change](const Route& aRoute) {
                  change.removedRoutes.push_back({ aRoute.ip, aRoute.port });
                }) &&
    CompareRows(aBase.services, aNew.services, change.services,
                [&change](const ServiceInfo& aService) {
                  change.removedServices.push_back(aService.name);
                });
  const auto changes = change.routes.size() + change.removedRoutes.size() +
                       change.services.size() + change.removedServices.size();
  const auto rows = aNew.routes.size() + aNew.services.size();
  if (!comparable || aBase.version == 0 || changes * kMinRowsPerChange > rows) {
    return std::nullopt;
  }
  return change;
}

auto AppliesTo(const RouteSetChange& aChange, const RouteSet& aBase) -> bool
{
  return aBase.version != 0 && aChange.baseVersion == aBase.version &&
         aChange.baseRevision == aBase.revision &&
         aChange.version > aBase.version;
}

auto ApplyChange(const RouteSet& aBase, const RouteSetChange& aChange)
  -> RouteSet
{
  assert(AppliesTo(aChange, aBase));
  return { aChange.version, aChange.revision, aChange.idleTimeoutMs,
           ChangeRows(aBase.routes, aChange.routes, aChange.removedRoutes),
           ChangeRows(aBase.services, aChange.services,
                      aChange.removedServices) };
}

} // namespace bramleylock::forward
