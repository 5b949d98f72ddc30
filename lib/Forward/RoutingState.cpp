// Merges routing state by revision, so that older data never replaces newer
// data.

#include "bramleylock/Forward/RoutingState.h"

#include "bramleylock/Forward/RecordLimits.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <string_view>

namespace bramleylock::forward {

/// How long a target still accepts flows after its entry may have expired in a
/// store outage. The platform registers running targets again within two
/// seconds after an outage, and a reading may be half a second behind.
static constexpr Milliseconds kExpiredEntryGrace{ 2500 };

/// Maximum number of targets in the log record of the first reading: enough for
/// a small deployment. The status query "/targets" returns the full list.
static constexpr std::size_t kMaxLoggedTargets = 64;

static auto AreValid(const std::vector<Route>& aRoutes) -> bool
{
  return std::all_of(aRoutes.begin(), aRoutes.end(), [](const Route& aRoute) {
    return !aRoute.shares.empty() && aRoute.port != 0 &&
           aRoute.kind < kRequestKindNames.size();
  });
}

auto IsValid(const RoutingUpdate& aUpdate) -> bool
{
  const auto routesAreValid = [](const auto& aRow) {
    return AreValid(aRow.routes);
  };
  return std::all_of(aUpdate.routes.begin(), aUpdate.routes.end(),
                     routesAreValid) &&
         std::all_of(aUpdate.routeChanges.begin(), aUpdate.routeChanges.end(),
                     routesAreValid) &&
         std::all_of(aUpdate.targets.begin(), aUpdate.targets.end(),
                     [](const TargetRecord& aRecord) {
                       return aRecord.State() <= TargetState::Dead &&
                              aRecord.slots > 0;
                     });
}

RoutingState::RoutingState(RouteTable& aRoutes, TargetDirectory& aTargets,
                           Metrics& aMetrics)
  : m_routes(aRoutes)
  , m_targets(aTargets)
  , m_metrics(aMetrics)
{
}

auto RoutingState::SetChangeListener(std::function<void()> aListener) -> void
{
  m_listener = std::move(aListener);
}

auto RoutingState::IsComplete() const -> bool
{
  return m_readAt != Clock::time_point{} && m_routes.Current().version != 0;
}

auto RoutingState::ReadAt() const -> Clock::time_point
{
  return m_readAt;
}

auto RoutingState::Revision() const -> const StoreRevision&
{
  return m_revision;
}

auto RoutingState::RoutesVersion() const -> std::uint64_t
{
  return m_routes.Current().version;
}

auto RoutingState::HasWarmUpLimits() const -> bool
{
  return m_routes.HasWarmUpLimits();
}

auto RoutingState::RecordedBalancerCount() const -> std::uint32_t
{
  return m_recordedBalancers;
}

auto RoutingState::AdvanceRevision(const StoreRevision& aRevision,
                                   Clock::time_point aReadAt) -> void
{
  m_revision = std::max(m_revision, aRevision);
  // The clock counts from the start of the machine, and the epoch means that
  // nothing was read. A peer's reading may be older than that.
  constexpr Clock::time_point kEarliestReading{ Clock::duration(1) };
  m_readAt = std::max({ m_readAt, aReadAt, kEarliestReading });
  m_targets.ConfirmAsOf(m_readAt);
  m_metrics.SetGauge("state_revision", static_cast<double>(m_revision.number));
  m_metrics.SetGauge("state_generation",
                     static_cast<double>(m_revision.generation));
}

/// Returns whether the store was restored between the state known here and
/// aRevision.
auto RoutingState::IsRestored(const StoreRevision& aRevision) const -> bool
{
  return m_readAt != Clock::time_point{} &&
         aRevision.generation > m_revision.generation;
}

/// Records that full state of aRevision begins a history: it is the first state
/// known here, or the store was restored. Removals before it are not known.
auto RoutingState::BeginHistory(const StoreRevision& aRevision,
                                const char* aSource) -> void
{
  m_removalsKnownSince = aRevision;
  if (m_readAt == Clock::time_point{}) {
    m_firstGeneration = aRevision.generation;
    return;
  }
  m_metrics.Add(Counter::StateRestored);
  LogWarning("state-restored", { { "from", aSource },
                                 { "revision", FormatRevision(aRevision) },
                                 { "before", FormatRevision(m_revision) } });
}

/// Adds the generation to a revision from a peer of a build that names none.
/// Before a restore this is the generation of all state, and after a restore
/// the state of such a peer is to be older than the restored one, because it
/// cannot distinguish the two.
auto RoutingState::WithGeneration(const StoreRevision& aRevision) const
  -> StoreRevision
{
  return aRevision.generation != 0 || aRevision.number == 0
           ? aRevision
           : StoreRevision(aRevision.number, m_firstGeneration);
}

/// Returns whether a peer's record of a departed target lacks a listed one only
/// since the store was restored. A removal that is certain has a higher count
/// than the listed record.
auto RoutingState::MayReturn(const TargetRecord& aRecord) -> bool
{
  const auto* entry = m_targets.Find(aRecord.id);
  return aRecord.State() == TargetState::Departed && entry != nullptr &&
         entry->record.incarnation == aRecord.incarnation &&
         entry->record.State() == TargetState::Ready &&
         entry->record.revision.generation < aRecord.revision.generation &&
         entry->record.sequence >= aRecord.sequence;
}

/// Merges a record into the directory, or keeps it out while the routes do not
/// name its service. Another program may have written it, so it must not show
/// that the target at its address has ended, or an earlier one of its id. The
/// service may also be new, and its routes not known here yet.
auto RoutingState::MergeTarget(const TargetRecord& aRecord, const char* aSource,
                               Clock::time_point aNow) -> bool
{
  if (m_routes.NamesService(aRecord.service) ||
      aRecord.State() >= TargetState::Departed) {
    m_heldTargets.Discard(aRecord.id, aRecord.revision);
    return m_targets.Apply(aRecord, aNow);
  }
  if (!m_heldTargets.Hold(aRecord)) {
    return false;
  }
  m_metrics.Add(Counter::TargetServiceUnknown);
  LogWarning("target-service-unknown",
             { { "from", aSource },
               { "entry", aRecord.id },
               { "service", aRecord.service },
               { "address", FormatAddress(aRecord.EndpointAddress()) },
               { "revision", FormatRevision(aRecord.revision) } });
  return true;
}

auto RoutingState::ApplyTarget(const TargetRecord& aRecord, const char* aSource,
                               Clock::time_point aNow) -> bool
{
  if (!MergeTarget(aRecord, aSource, aNow)) {
    return false;
  }
  if (m_heldTargets.Contains(aRecord.id, aRecord.incarnation)) {
    return true;
  }
  LogInfo(
    "target-changed",
    { { "from", aSource },
      { "target", aRecord.id },
      { "incarnation", std::to_string(aRecord.incarnation) },
      { "service", aRecord.service },
      { "address", FormatAddress(aRecord.EndpointAddress()) },
      { "state", std::string(NameOf(kTargetStateNames, aRecord.State())) },
      { "cold_ms", std::to_string(aRecord.warmUpMs) },
      { "revision", FormatRevision(aRecord.revision) } });
  return true;
}

auto RoutingState::RemoveTarget(const RemovedTarget& aRemoved,
                                const char* aSource, Clock::time_point aNow)
  -> bool
{
  const bool discarded = m_heldTargets.Discard(aRemoved.id, aRemoved.revision);
  const auto gracePeriod =
    aRemoved.mayReturn ? kExpiredEntryGrace : Milliseconds(0);
  if (!m_targets.Remove(aRemoved.id, aRemoved.revision, gracePeriod, aNow)) {
    return discarded;
  }
  if (aRemoved.mayReturn) {
    m_metrics.Add(Counter::TargetsLapsed);
  }
  LogInfo("target-departed",
          { { "from", aSource },
            { "target", aRemoved.id },
            { "may_return", aRemoved.mayReturn ? "true" : "false" },
            { "revision", FormatRevision(aRemoved.revision) } });
  return true;
}

/// Returns the targets in use that a full update of aRevision no longer
/// contains. Entries with a newer revision came with later updates and stay.
auto RoutingState::FindMissing(const std::vector<TargetRecord>& aListed,
                               const StoreRevision& aRevision, bool aMayReturn,
                               Clock::time_point aNow)
  -> std::vector<RemovedTarget>
{
  std::set<std::pair<std::string_view, std::uint64_t>> listed;
  for (const auto& record : aListed) {
    listed.emplace(record.id, record.incarnation);
  }
  std::vector<RemovedTarget> missing;
  for (const auto* entry : m_targets.All()) {
    const auto& record = entry->record;
    const bool inUse =
      record.State() < TargetState::Departed || entry->AcceptsNewFlows(aNow);
    if (inUse && record.revision < aRevision &&
        !listed.contains({ record.id, record.incarnation })) {
      missing.push_back({ record.id, aRevision, aMayReturn });
    }
  }
  return missing;
}

auto RoutingState::LogFirstReading() -> void
{
  std::string targets;
  const auto all = m_targets.All();
  const auto listed = std::min(all.size(), kMaxLoggedTargets);
  for (std::size_t i = 0; i < listed; ++i) {
    const auto* entry = all[i];
    const auto state = NameOf(kTargetStateNames, entry->record.State());
    targets +=
      fmt::format("{}{}@{}:{}", targets.empty() ? "" : ",", entry->record.id,
                  FormatAddress(entry->record.EndpointAddress()), state);
  }
  LogInfo("state-read",
          { { "revision", FormatRevision(m_revision) },
            { "routes", std::to_string(m_routes.Current().version) },
            { "known", std::to_string(all.size()) },
            { "targets", targets } });
}

/// Returns the record to send to the peers for one that was read: that in
/// force, which is later if an older copy of the store was read.
auto RoutingState::KnownRecord(const TargetRecord& aRecord) -> TargetRecord
{
  const auto* entry = m_targets.Find(aRecord.id);
  const bool later = entry != nullptr &&
                     entry->record.incarnation == aRecord.incarnation &&
                     entry->record.revision == aRecord.revision &&
                     entry->record.sequence > aRecord.sequence;
  return later ? entry->record : aRecord;
}

/// Returns whether the peers have to hear of aRecord of an incremental reading
/// even if it changes nothing here. Either the state contained it, or a later
/// one of its id, before: the record was on a later page of the first reading,
/// or in a peer's update that was not accepted as a whole. Or the reading
/// contains a removal of the entry, which a peer may know already.
auto RoutingState::MayBeNewToPeers(const TargetRecord& aRecord,
                                   const std::vector<RemovedTarget>& aRemoved)
  -> bool
{
  const auto* entry = m_targets.Find(aRecord.id);
  return (entry != nullptr && entry->record.revision >= aRecord.revision) ||
         m_heldTargets.Contains(aRecord.id, aRecord.incarnation) ||
         std::any_of(aRemoved.begin(), aRemoved.end(),
                     [&aRecord](const RemovedTarget& aRow) {
                       return aRow.id == aRecord.id;
                     });
}

/// Returns whether aId is listed here.
auto RoutingState::IsListed(const std::string& aId) -> bool
{
  const auto* entry = m_targets.Find(aId);
  return entry != nullptr && entry->record.State() < TargetState::Departed;
}

auto RoutingState::ApplyReading(StateReading aReading, bool aFull,
                                bool aStoreFailedRecently,
                                Clock::time_point aReadAt,
                                Clock::time_point aNow) -> RoutingUpdate
{
  RoutingUpdate update;
  update.baseRevision = aFull ? StoreRevision() : m_revision;
  update.revision = aReading.revision;
  update.ageMs = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(aNow - aReadAt).count());
  ApplyReadRoutes(aReading, update, aNow);
  const bool isFirstReading = m_readAt == Clock::time_point{};
  const bool restored = IsRestored(aReading.revision);
  assert(aFull || !restored);
  if (isFirstReading || restored) {
    BeginHistory(aReading.revision, "store");
  }
  for (const auto& record : aReading.targets) {
    const bool newToPeers = MayBeNewToPeers(record, aReading.removed);
    // The first reading is logged as a single change.
    const bool changed = isFirstReading ? MergeTarget(record, "store", aNow)
                                        : ApplyTarget(record, "store", aNow);
    if (changed || newToPeers || aFull) {
      update.targets.push_back(KnownRecord(record));
    }
  }
  ApplyReadEvacuations(aReading, aFull, restored, aNow);
  update.evacuations = aReading.evacuations;
  update.listsEvacuations = m_listsEvacuations;
  if (aFull) {
    m_heldTargets.DiscardMissing(aReading.targets, aReading.revision);
    const auto missing = FindMissing(aReading.targets, aReading.revision,
                                     aStoreFailedRecently || restored, aNow);
    aReading.removed.insert(aReading.removed.end(), missing.begin(),
                            missing.end());
  }
  for (auto& removed : aReading.removed) {
    removed.mayReturn = removed.mayReturn || aStoreFailedRecently;
    RemoveTarget(removed, "store", aNow);
    // The peers may know an entry that was never known here. One that was
    // listed again after its removal is still in use.
    if (!IsListed(removed.id)) {
      update.removed.push_back(removed);
    }
  }
  // A number that a restore has lost has to be recorded again.
  m_recordedBalancers =
    aReading.balancers.value_or(restored ? 0 : m_recordedBalancers);
  AdvanceRevision(aReading.revision, aReadAt);
  m_metrics.Observe(Latency::StateInForce, aNow - aReadAt);
  if (isFirstReading) {
    LogFirstReading();
  }
  update.routesVersion = m_routes.Current().version;
  m_listener();
  return update;
}

/// Returns whether a received record belongs to a target that is known to be
/// removed. All changes up to m_revision are known here, so a listed target
/// with no newer revision that is not in the directory has been removed. A peer
/// that was partitioned for a long time may still have it.
auto RoutingState::IsKnownRemoved(const TargetRecord& aRecord) const -> bool
{
  return aRecord.State() < TargetState::Departed &&
         aRecord.revision <= m_revision &&
         !m_targets.Contains(aRecord.id, aRecord.incarnation) &&
         !m_heldTargets.Contains(aRecord.id, aRecord.incarnation);
}

auto RoutingState::ApplyUpdate(const RoutingUpdate& aUpdate,
                               Clock::time_point aNow) -> bool
{
  const auto revision = WithGeneration(aUpdate.revision);
  const auto baseRevision = WithGeneration(aUpdate.baseRevision);
  const bool full = aUpdate.baseRevision.number == 0;
  const bool restored = IsRestored(revision);
  ApplyPeerRoutes(aUpdate, aNow);
  for (auto record : aUpdate.targets) {
    if (!IsInRange(record)) {
      // A peer of a version without these limits took an odd entry from the
      // store. The other records of its update are still needed.
      m_metrics.Add(Counter::TargetEntryUnreadable);
      LogWarning("target-record-out-of-range", { { "entry", record.id } });
      continue;
    }
    record.revision = WithGeneration(record.revision);
    if (MayReturn(record)) {
      RemoveTarget({ record.id, record.revision, true }, "peer", aNow);
    } else if (!IsKnownRemoved(record)) {
      ApplyTarget(record, "peer", aNow);
    }
  }
  for (auto removed : aUpdate.removed) {
    removed.revision = WithGeneration(removed.revision);
    RemoveTarget(removed, "peer", aNow);
  }
  ApplyPeerEvacuations(aUpdate, revision, restored, aNow);
  if (full) {
    m_heldTargets.DiscardMissing(aUpdate.targets, revision);
    for (const auto& missing :
         FindMissing(aUpdate.targets, revision, restored, aNow)) {
      RemoveTarget(missing, "peer", aNow);
    }
  }
  if ((restored && !full) || baseRevision > m_revision ||
      aUpdate.routesVersion > m_routes.Current().version) {
    return false;
  }
  if (revision.generation < m_revision.generation) {
    // The sender does not know yet that the store was restored, so its reading
    // does not show that this state is current.
    m_metrics.Add(Counter::StateOutdated);
    LogInfo("state-outdated", { { "from", "peer" },
                                { "revision", FormatRevision(revision) },
                                { "known", FormatRevision(m_revision) } });
    return true;
  }
  if (m_readAt == Clock::time_point{} || restored) {
    BeginHistory(revision, "peer");
  }
  if (m_recordedBalancers == 0) {
    m_recordedBalancers = aUpdate.balancers;
  }
  m_listsEvacuations = aUpdate.listsEvacuations && (full || m_listsEvacuations);
  const Milliseconds age(aUpdate.ageMs);
  AdvanceRevision(revision, aNow - age);
  m_metrics.Observe(Latency::StateInForce, age);
  m_listener();
  return true;
}

auto RoutingState::CreateUpdate(const RoutingRequest& aRequest,
                                Clock::time_point aNow) -> RoutingUpdate
{
  RoutingUpdate update;
  const auto known = WithGeneration(aRequest.revision);
  const bool incremental = known.number > 0 &&
                           known.generation == m_revision.generation &&
                           known >= m_removalsKnownSince;
  update.baseRevision = incremental ? known : StoreRevision();
  update.revision = m_revision;
  update.routesVersion = m_routes.Current().version;
  update.ageMs = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(aNow - m_readAt).count());
  if (aRequest.routesVersion < update.routesVersion) {
    update.routes.push_back(m_routes.Current());
  }
  if (!update.routes.empty() || !incremental) {
    update.formerShares = m_routes.FormerShares(aNow);
  }
  update.targets = m_targets.RecordsAfter(update.baseRevision, aNow);
  for (auto& record : m_heldTargets.RecordsAfter(update.baseRevision)) {
    update.targets.push_back(std::move(record));
  }
  update.balancers = m_recordedBalancers;
  update.evacuations =
    m_targets.Evacuations().RecordsAfter(update.baseRevision, aNow);
  update.listsEvacuations = m_listsEvacuations;
  return update;
}

} // namespace bramleylock::forward
