// Merges routing state by revision, so that older data never replaces newer
// data.

#include "bramleylock/Forward/RoutingState.h"

#include "bramleylock/Forward/RecordLimits.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
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

auto IsValid(const RoutingUpdate& aUpdate) -> bool
{
  const auto routeIsValid = [](const Route& aRoute) {
    return !aRoute.shares.empty() && aRoute.port != 0 &&
           aRoute.kind < kRequestKindNames.size();
  };
  return std::all_of(aUpdate.routes.begin(), aUpdate.routes.end(),
                     [&routeIsValid](const RouteSet& aSet) {
                       return std::all_of(aSet.routes.begin(),
                                          aSet.routes.end(), routeIsValid);
                     }) &&
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

auto RoutingState::Revision() const -> std::uint64_t
{
  return m_revision;
}

auto RoutingState::RoutesVersion() const -> std::uint64_t
{
  return m_routes.Current().version;
}

auto RoutingState::RecordedBalancerCount() const -> std::uint32_t
{
  return m_recordedBalancers;
}

auto RoutingState::AdvanceRevision(std::uint64_t aRevision,
                                   Clock::time_point aReadAt) -> void
{
  m_revision = std::max(m_revision, aRevision);
  // The clock counts from the start of the machine, and the epoch means that
  // nothing was read. A peer's reading may be older than that.
  constexpr Clock::time_point kEarliestReading{ Clock::duration(1) };
  m_readAt = std::max({ m_readAt, aReadAt, kEarliestReading });
  m_metrics.SetGauge("state_revision", static_cast<double>(m_revision));
}

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
                   { "revision", std::to_string(aRoutes.revision) } });
    }
    return false;
  }
  m_metrics.Add(Counter::RoutesInstalled);
  m_metrics.SetGauge("routes_version", static_cast<double>(aRoutes.version));
  LogInfo("routes-installed",
          { { "from", aSource },
            { "version", std::to_string(aRoutes.version) },
            { "before", std::to_string(before) },
            { "revision", std::to_string(aRoutes.revision) },
            { "routes", std::to_string(aRoutes.routes.size()) } });
  return true;
}

auto RoutingState::ApplyTarget(const TargetRecord& aRecord, const char* aSource,
                               Clock::time_point aNow) -> bool
{
  if (!m_targets.Apply(aRecord, aNow)) {
    return false;
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
      { "revision", std::to_string(aRecord.revision) } });
  return true;
}

auto RoutingState::RemoveTarget(const RemovedTarget& aRemoved,
                                const char* aSource, Clock::time_point aNow)
  -> bool
{
  const auto gracePeriod =
    aRemoved.mayReturn ? kExpiredEntryGrace : Milliseconds(0);
  if (!m_targets.Remove(aRemoved.id, aRemoved.revision, gracePeriod, aNow)) {
    return false;
  }
  if (aRemoved.mayReturn) {
    m_metrics.Add(Counter::TargetsLapsed);
  }
  LogInfo("target-departed",
          { { "from", aSource },
            { "target", aRemoved.id },
            { "may_return", aRemoved.mayReturn ? "true" : "false" },
            { "revision", std::to_string(aRemoved.revision) } });
  return true;
}

/// Returns the listed targets that a full update of aRevision no longer
/// contains. Entries with a newer revision came with later updates and stay.
auto RoutingState::FindMissing(const std::vector<TargetRecord>& aListed,
                               std::uint64_t aRevision, bool aMayReturn)
  -> std::vector<RemovedTarget>
{
  std::set<std::string_view> listedIds;
  for (const auto& record : aListed) {
    listedIds.insert(record.id);
  }
  std::vector<RemovedTarget> missing;
  for (const auto* entry : m_targets.All()) {
    const auto& record = entry->record;
    if (record.State() < TargetState::Departed && record.revision < aRevision &&
        !listedIds.contains(record.id)) {
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
          { { "revision", std::to_string(m_revision) },
            { "routes", std::to_string(m_routes.Current().version) },
            { "known", std::to_string(all.size()) },
            { "targets", targets } });
}

auto RoutingState::ApplyReading(StateReading aReading, bool aFull,
                                bool aStoreFailedRecently,
                                Clock::time_point aReadAt,
                                Clock::time_point aNow) -> RoutingUpdate
{
  RoutingUpdate update;
  update.baseRevision = aFull ? 0 : m_revision;
  update.revision = aReading.revision;
  if (aReading.routes && InstallRoutes(*aReading.routes, "store", aNow)) {
    update.routes.push_back(*aReading.routes);
  }
  const bool isFirstReading = m_readAt == Clock::time_point{};
  if (isFirstReading) {
    m_removalsKnownSince = aReading.revision;
  }
  for (const auto& record : aReading.targets) {
    // The first reading is logged as a single change.
    const bool changed = isFirstReading ? m_targets.Apply(record, aNow)
                                        : ApplyTarget(record, "store", aNow);
    if (changed || aFull) {
      update.targets.push_back(record);
    }
  }
  if (aFull) {
    const auto missing =
      FindMissing(aReading.targets, aReading.revision, aStoreFailedRecently);
    aReading.removed.insert(aReading.removed.end(), missing.begin(),
                            missing.end());
  }
  for (auto& removed : aReading.removed) {
    removed.mayReturn = removed.mayReturn || aStoreFailedRecently;
    if (RemoveTarget(removed, "store", aNow) || aFull) {
      update.removed.push_back(removed);
    }
  }
  m_recordedBalancers = aReading.balancers.value_or(m_recordedBalancers);
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
         !m_targets.Contains(aRecord.id, aRecord.incarnation);
}

auto RoutingState::ApplyUpdate(const RoutingUpdate& aUpdate,
                               Clock::time_point aNow) -> bool
{
  for (const auto& routes : aUpdate.routes) {
    InstallRoutes(routes, "peer", aNow);
  }
  for (const auto& record : aUpdate.targets) {
    if (!IsInRange(record)) {
      // A peer of a version without these limits took an odd entry from the
      // store. The other records of its update are still needed.
      m_metrics.Add(Counter::TargetEntryUnreadable);
      LogWarning("target-record-out-of-range", { { "entry", record.id } });
      continue;
    }
    if (!IsKnownRemoved(record)) {
      ApplyTarget(record, "peer", aNow);
    }
  }
  for (const auto& removed : aUpdate.removed) {
    RemoveTarget(removed, "peer", aNow);
  }
  if (aUpdate.baseRevision == 0) {
    for (const auto& missing :
         FindMissing(aUpdate.targets, aUpdate.revision, false)) {
      RemoveTarget(missing, "peer", aNow);
    }
  }
  if (aUpdate.baseRevision > m_revision ||
      aUpdate.routesVersion > m_routes.Current().version) {
    return false;
  }
  if (m_readAt == Clock::time_point{}) {
    m_removalsKnownSince = aUpdate.revision;
  }
  if (m_recordedBalancers == 0) {
    m_recordedBalancers = aUpdate.balancers;
  }
  const Milliseconds age(aUpdate.ageMs);
  AdvanceRevision(aUpdate.revision, aNow - age);
  m_metrics.Observe(Latency::StateInForce, age);
  m_listener();
  return true;
}

auto RoutingState::CreateUpdate(const RoutingRequest& aRequest,
                                Clock::time_point aNow) -> RoutingUpdate
{
  RoutingUpdate update;
  const bool incremental =
    aRequest.revision > 0 && aRequest.revision >= m_removalsKnownSince;
  update.baseRevision = incremental ? aRequest.revision : 0;
  update.revision = m_revision;
  update.routesVersion = m_routes.Current().version;
  update.ageMs = static_cast<std::uint32_t>(
    std::chrono::duration_cast<Milliseconds>(aNow - m_readAt).count());
  if (aRequest.routesVersion < update.routesVersion) {
    update.routes.push_back(m_routes.Current());
  }
  update.targets = m_targets.RecordsAfter(update.baseRevision, aNow);
  update.balancers = m_recordedBalancers;
  return update;
}

} // namespace bramleylock::forward
