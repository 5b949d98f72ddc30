// Determines which unknown outcomes a fault of an owner explains.

#include "measure/OwnerFaults.h"

#include <algorithm>

namespace bramleylock::measure {

/// A caller continues to send to an owner that answered within this time.
static constexpr double kOwnerValidSeconds = 1.1;

auto ExplainedByOwner(const Record& aRecord,
                      const std::vector<OwnerFault>& aFaults) -> bool
{
  const auto inFlight = [&aRecord](const OwnerFault& aFault) {
    const double ended = aRecord.startedAt + aRecord.latencyMs / 1000;
    return aFault.owner == aRecord.owner && ended >= aFault.from &&
           aRecord.startedAt <= aFault.until + kOwnerValidSeconds;
  };
  return aRecord.atMostOnce &&
         std::any_of(aFaults.begin(), aFaults.end(), inFlight);
}

auto AddOwnerFaults(const std::map<std::string, std::vector<Record>>& aRecords,
                    const std::vector<OwnerFault>& aFaults, Report& aReport)
  -> void
{
  std::uint64_t allowed = 0;
  std::uint64_t broken = 0;
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      if (record.outcome == caller::CallOutcome::Unknown) {
        ++(ExplainedByOwner(record, aFaults) ? allowed : broken);
      }
    }
  }
  aReport.Add("unknown_in_flight_at_fault", allowed);
  aReport.Add("unknown_without_fault", broken);
  aReport.Require("unknown_without_fault=0", broken == 0);
}

} // namespace bramleylock::measure
