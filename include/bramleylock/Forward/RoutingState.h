// The routes and targets in force on one balancer, and how readings and peers'
// news change them.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/StateSource.h"

namespace bramleylock::forward {

/// What one balancer tells another of its routes and targets.
struct RoutingNews
{
  /// The news are complete from aBase on: whoever has less lacks something.
  std::uint64_t base = 0;
  std::uint64_t revision = 0;
  /// Version of the routes in force at the sender.
  std::uint64_t routesVersion = 0;
  /// How old the sender's reading of the store is.
  std::uint32_t ageMs = 0;
  /// The routes, or nothing.
  std::vector<RouteSet> routes;
  std::vector<TargetRecord> targets;
  std::vector<RemovedTarget> removed;
  /// How many balancers the store says there are, as far as the sender knows.
  std::uint32_t balancers = 0;
  MSGPACK_DEFINE_ARRAY(base, revision, routesVersion, ageMs, routes, targets,
                       removed, balancers)
};

/// Asks a peer for what it has beyond this.
struct RoutingRequest
{
  /// The asker has all changes up to this; 0 asks for everything.
  std::uint64_t revision = 0;
  std::uint64_t routesVersion = 0;
  MSGPACK_DEFINE_ARRAY(revision, routesVersion)
};

/// Whether every record of aNews can be used as it is. A peer of another
/// version may send what this one does not know.
auto IsSound(const RoutingNews& aNews) -> bool;

/// Applies readings and news to the route table and the directory, and tells
/// what changed.
class RoutingState
{
public:
  RoutingState(RouteTable& aRoutes, TargetDirectory& aTargets,
               Metrics& aMetrics);

  /// Takes a reading that began at aReadAt; aWhole when it is all that exists.
  /// aStoreTroubled says that the store failed shortly before. Returns the news
  /// for the peers.
  auto TakeReading(StateReading aReading, bool aWhole, bool aStoreTroubled,
                   Clock::time_point aReadAt, Clock::time_point aNow)
    -> RoutingNews;

  /// Takes a peer's news; false when they build on something that is not here,
  /// so that the peer has to be asked for all.
  auto TakeNews(const RoutingNews& aNews, Clock::time_point aNow) -> bool;

  /// What a peer lacks: the changes after its revision, or everything where not
  /// all of them are known here.
  auto Answer(const RoutingRequest& aRequest, Clock::time_point aNow)
    -> RoutingNews;

  /// Sets who is told after each reading and news.
  auto OnChange(std::function<void()> aListener) -> void;

  /// Routes and targets are known.
  auto Complete() const -> bool;

  /// When the reading began that this state is as new as; the epoch when there
  /// is none.
  auto ReadAt() const -> Clock::time_point;
  auto Revision() const -> std::uint64_t;
  auto RoutesVersion() const -> std::uint64_t;

  /// How many balancers the store says there are; 0 when it does not.
  auto RecordedBalancers() const -> std::uint32_t;

private:
  auto InstallRoutes(const RouteSet& aRoutes, const char* aFrom,
                     Clock::time_point aNow) -> bool;
  auto ApplyTarget(const TargetRecord& aRecord, const char* aFrom,
                   Clock::time_point aNow) -> bool;
  auto RemoveTarget(const RemovedTarget& aRemoved, const char* aFrom,
                    Clock::time_point aNow) -> bool;
  auto MissingFrom(const std::vector<TargetRecord>& aShown,
                   std::uint64_t aRevision, bool aMayReturn)
    -> std::vector<RemovedTarget>;
  auto EndedBeforeHere(const TargetRecord& aRecord) const -> bool;
  auto LogFirstReading() -> void;
  auto Advance(std::uint64_t aRevision, Clock::time_point aReadAt) -> void;

  RouteTable& m_routes;
  TargetDirectory& m_targets;
  Metrics& m_metrics;
  std::function<void()> m_listener = [] {};
  std::uint64_t m_revision = 0;
  /// Every end of a target after this revision was seen here.
  std::uint64_t m_completeFrom = 0;
  Clock::time_point m_readAt{};
  std::uint32_t m_recordedBalancers = 0;
};

} // namespace bramleylock::forward
