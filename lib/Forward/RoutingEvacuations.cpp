// Applies the evacuations of readings and updates to the target directory.

#include "bramleylock/Forward/RoutingState.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::forward {

/// How long an evacuation stays in force after a restored store lacked it. The
/// platform writes the operators' requests again within two seconds, and a
/// reading may be half a second behind.
static constexpr Milliseconds kMissingEvacuationGrace{ 2500 };

auto RoutingState::ApplyEvacuations(
  const std::vector<EvacuationRecord>& aRecords, const char* aSource,
  Clock::time_point aNow) -> void
{
  auto& table = m_targets.Evacuations();
  for (const auto& record : aRecords) {
    if (!table.Apply(record, aNow)) {
      if (record.evacuated && !table.Contains(record.failureDomain)) {
        LogWarning("evacuation-ignored",
                   { { "failure_domain", record.failureDomain },
                     { "why", "too many failure domains" } });
      }
      continue;
    }
    m_metrics.Add(record.evacuated ? Counter::EvacuationsStarted
                                   : Counter::EvacuationsEnded);
    LogInfo(record.evacuated ? "evacuation-started" : "evacuation-ended",
            { { "from", aSource },
              { "failure_domain", record.failureDomain },
              { "open_flows",
                std::to_string(m_targets.OpenFlowsIn(record.failureDomain)) },
              { "revision", FormatRevision(record.revision) } });
  }
}

/// Ends the evacuations that a full reading or update does not list.
auto RoutingState::EndMissingEvacuations(
  const std::vector<EvacuationRecord>& aListed, const StoreRevision& aRevision,
  bool aMayReturn, const char* aSource, Clock::time_point aNow) -> void
{
  const auto gracePeriod =
    aMayReturn ? kMissingEvacuationGrace : Milliseconds(0);
  for (const auto& domain : m_targets.Evacuations().EndMissing(
         aListed, aRevision, gracePeriod, aNow)) {
    m_metrics.Add(Counter::EvacuationsEnded);
    LogInfo("evacuation-missing",
            { { "from", aSource },
              { "failure_domain", domain },
              { "ends_after_ms", std::to_string(gracePeriod.count()) },
              { "revision", FormatRevision(aRevision) } });
  }
}

auto RoutingState::ListsEvacuations() const -> bool
{
  return m_listsEvacuations;
}

auto RoutingState::ApplyReadEvacuations(const StateReading& aReading,
                                        bool aFull, bool aRestored,
                                        Clock::time_point aNow) -> void
{
  ApplyEvacuations(aReading.evacuations, "store", aNow);
  if (aFull) {
    m_listsEvacuations = true;
    EndMissingEvacuations(aReading.evacuations, aReading.revision, aRestored,
                          "store", aNow);
  }
}

auto RoutingState::ApplyPeerEvacuations(const RoutingUpdate& aUpdate,
                                        const StoreRevision& aRevision,
                                        bool aRestored, Clock::time_point aNow)
  -> void
{
  if (!aUpdate.listsEvacuations) {
    return;
  }
  auto records = aUpdate.evacuations;
  for (auto& record : records) {
    record.revision = WithGeneration(record.revision);
  }
  const auto& table = m_targets.Evacuations();
  // All changes up to m_revision are known here, so an evacuation with no newer
  // revision that is not in the table has ended. A peer that was partitioned
  // for a long time may still have it.
  std::erase_if(records, [this, &table](const EvacuationRecord& aRecord) {
    return m_listsEvacuations && aRecord.evacuated &&
           aRecord.revision <= m_revision &&
           !table.Contains(aRecord.failureDomain);
  });
  ApplyEvacuations(records, "peer", aNow);
  if (aUpdate.baseRevision.number == 0) {
    EndMissingEvacuations(records, aRevision, aRestored, "peer", aNow);
  }
}

} // namespace bramleylock::forward
