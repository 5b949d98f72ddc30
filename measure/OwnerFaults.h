// What a fault of owners may do to requests.
#pragma once

#include <set>
#include <string>

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// Owners that were killed or paused, and when.
struct OwnerFault
{
  /// "ip:port" of the peer listener, as tokens name it.
  std::string owner;
  /// Seconds from the start of the load.
  double from = 0;
  double until = 0;
};

/// Whether aRecord is at-most-once work that was in flight at an owner during
/// one of its faults.
auto ExplainedByOwner(const Record& aRecord,
                      const std::vector<OwnerFault>& aFaults) -> bool;

/// Counts requests that ended as unknown. Those of at-most-once work that was
/// in flight at an owner during its fault are allowed, all others are broken.
/// Requires that none is broken.
auto AddOwnerFaults(const std::map<std::string, std::vector<Record>>& aRecords,
                    const std::vector<OwnerFault>& aFaults, Report& aReport)
  -> void;

} // namespace bramleylock::measure
