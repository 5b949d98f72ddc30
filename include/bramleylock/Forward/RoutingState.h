// Routing state of a balancer (routes and targets) and its updates from the
// store and from peers.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/HeldTargets.h"
#include "bramleylock/Forward/RouteSetChange.h"
#include "bramleylock/Forward/StateSource.h"

namespace bramleylock::forward {

/// Routing update sent from one balancer to another.
struct RoutingUpdate
{
  /// Revision on which this update builds. A receiver with an older revision
  /// lacks changes and has to request a full update; 0 marks a full update.
  StoreRevision baseRevision;
  StoreRevision revision;
  /// Version of the routes in force at the sender.
  std::uint64_t routesVersion = 0;
  /// Age of the sender's last reading of the store.
  std::uint32_t ageMs = 0;
  /// The routes, or empty if they are not part of this update.
  std::vector<RouteSet> routes;
  std::vector<TargetRecord> targets;
  std::vector<RemovedTarget> removed;
  /// Number of balancers recorded in the store, as known to the sender; 0 if
  /// unknown.
  std::uint32_t balancers = 0;
  /// Evacuations in a full update, or their changes.
  std::vector<EvacuationRecord> evacuations;
  /// Whether the sender knows evacuations; older builds do not.
  bool listsEvacuations = false;
  /// Services that earlier versions of the routes allowed.
  std::vector<FormerShare> formerShares;
  /// Changes of the routes, instead of the routes themselves.
  std::vector<RouteSetChange> routeChanges;
  MSGPACK_DEFINE_ARRAY(baseRevision.number, revision.number, routesVersion,
                       ageMs, routes, targets, removed, balancers,
                       baseRevision.generation, revision.generation,
                       evacuations, listsEvacuations, formerShares,
                       routeChanges)
};

/// Requests the changes after a known state from a peer.
struct RoutingRequest
{
  /// Revision up to which the requester has all changes; 0 requests the full
  /// state.
  StoreRevision revision;
  std::uint64_t routesVersion = 0;
  MSGPACK_DEFINE_ARRAY(revision.number, routesVersion, revision.generation)
};

/// Returns whether all records of aUpdate are valid. A peer of another version
/// may send values that this version does not know.
auto IsValid(const RoutingUpdate& aUpdate) -> bool;

/// Applies store readings and peer updates to the route table and the target
/// directory, and notifies a listener. A full reading or update of a higher
/// generation of the store replaces the state of lower ones; entries that it
/// lacks may be written again, so their targets are kept for a grace period.
class RoutingState
{
public:
  RoutingState(RouteTable& aRoutes, TargetDirectory& aTargets,
               Metrics& aMetrics);

  /// Applies a reading that reflects the store as of aReadAt. aFull marks a
  /// full reading instead of changes. aStoreFailedRecently means that the store
  /// failed shortly before. Returns the update for the peers.
  auto ApplyReading(StateReading aReading, bool aFull,
                    bool aStoreFailedRecently, Clock::time_point aReadAt,
                    Clock::time_point aNow) -> RoutingUpdate;

  /// Applies a peer's update. Returns false if the update builds on changes
  /// that are missing here, so that the full state has to be requested.
  auto ApplyUpdate(const RoutingUpdate& aUpdate, Clock::time_point aNow)
    -> bool;

  /// Returns the update for a peer's request: the changes after its revision,
  /// or the full state if not all of these changes are known here.
  auto CreateUpdate(const RoutingRequest& aRequest, Clock::time_point aNow)
    -> RoutingUpdate;

  /// Sets the listener called after each applied reading or update.
  auto SetChangeListener(std::function<void()> aListener) -> void;

  /// Returns whether both routes and targets are known.
  auto IsComplete() const -> bool;

  /// Returns the time as of which this state reflects the store; the epoch if
  /// nothing was read.
  auto ReadAt() const -> Clock::time_point;
  auto Revision() const -> const StoreRevision&;
  auto RoutesVersion() const -> std::uint64_t;

  /// Returns whether any service limits the requests to targets that are
  /// warming up.
  auto HasWarmUpLimits() const -> bool;

  /// Returns the number of balancers recorded in the store; 0 if unknown.
  auto RecordedBalancerCount() const -> std::uint32_t;

  /// Returns whether all evacuations up to the revision are known. They are not
  /// after an update of a build that does not read them.
  auto ListsEvacuations() const -> bool;

  /// Marks what the store has recorded as unknown.
  auto ForgetRecordedShares() -> void;

  /// Returns the shares to record in the store, or nothing if the last reading
  /// shows that it has them.
  auto SharesToRecord() const -> std::optional<std::vector<FormerShare>>;

private:
  auto ReleaseHeldTargets(const char* aSource, Clock::time_point aNow) -> void;
  auto InstallRoutes(const RouteSet& aRoutes, const char* aSource,
                     Clock::time_point aNow) -> bool;
  auto ApplyReadRoutes(const StateReading& aReading, RoutingUpdate& aUpdate,
                       Clock::time_point aNow) -> void;
  auto ApplyPeerRoutes(const RoutingUpdate& aUpdate, Clock::time_point aNow)
    -> void;
  auto MergeTarget(const TargetRecord& aRecord, const char* aSource,
                   Clock::time_point aNow) -> bool;
  auto ApplyTarget(const TargetRecord& aRecord, const char* aSource,
                   Clock::time_point aNow) -> bool;
  auto RemoveTarget(const RemovedTarget& aRemoved, const char* aSource,
                    Clock::time_point aNow) -> bool;
  auto ApplyEvacuations(const std::vector<EvacuationRecord>& aRecords,
                        const char* aSource, Clock::time_point aNow) -> void;
  auto ApplyReadEvacuations(const StateReading& aReading, bool aFull,
                            bool aRestored, Clock::time_point aNow) -> void;
  auto ApplyPeerEvacuations(const RoutingUpdate& aUpdate,
                            const StoreRevision& aRevision, bool aRestored,
                            Clock::time_point aNow) -> void;
  auto EndMissingEvacuations(const std::vector<EvacuationRecord>& aListed,
                             const StoreRevision& aRevision, bool aMayReturn,
                             const char* aSource, Clock::time_point aNow)
    -> void;
  auto FindMissing(const std::vector<TargetRecord>& aListed,
                   const StoreRevision& aRevision, bool aMayReturn,
                   Clock::time_point aNow) -> std::vector<RemovedTarget>;
  auto IsKnownRemoved(const TargetRecord& aRecord) const -> bool;
  auto LogFirstReading() -> void;
  auto AdvanceRevision(const StoreRevision& aRevision,
                       Clock::time_point aReadAt) -> void;
  auto IsRestored(const StoreRevision& aRevision) const -> bool;
  auto BeginHistory(const StoreRevision& aRevision, const char* aSource)
    -> void;
  auto WithGeneration(const StoreRevision& aRevision) const -> StoreRevision;
  auto MayReturn(const TargetRecord& aRecord) -> bool;
  auto MayBeNewToPeers(const TargetRecord& aRecord,
                       const std::vector<RemovedTarget>& aRemoved) -> bool;
  auto IsListed(const std::string& aId) -> bool;
  auto KnownRecord(const TargetRecord& aRecord) -> TargetRecord;

  RouteTable& m_routes;
  TargetDirectory& m_targets;
  Metrics& m_metrics;
  HeldTargets m_heldTargets;
  std::function<void()> m_listener = [] {};
  StoreRevision m_revision;
  /// Generation of the first revision. Peers that name no generation are
  /// assumed to have this one.
  std::uint64_t m_firstGeneration = 0;
  /// All removals of targets after this revision are known here.
  StoreRevision m_removalsKnownSince;
  Clock::time_point m_readAt{};
  std::uint32_t m_recordedBalancers = 0;
  bool m_listsEvacuations = false;
  /// Shares that the store has recorded, as of the last reading; empty if
  /// unknown.
  std::optional<std::vector<FormerShare>> m_recordedShares;
};

} // namespace bramleylock::forward
