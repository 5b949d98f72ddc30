// Classifies requests with unknown outcome by the faults of their flow's owner.
#pragma once

#include <set>
#include <string>

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// An interval during which the owner of flows was killed or paused.
struct OwnerFault
{
  /// "ip:port" of the owner's peer listener, as in tokens.
  std::string owner;
  /// Seconds from the start of the load.
  double from = 0;
  double until = 0;
};

/// Whether aRecord is an at-most-once request that was in flight at an owner
/// during one of the owner's faults.
auto ExplainedByOwner(const Record& aRecord,
                      const std::vector<OwnerFault>& aFaults) -> bool;

/// Counts requests with unknown outcome. At-most-once requests that were in
/// flight at an owner during its fault are allowed; all others count as broken.
/// Requires that no request is broken.
auto AddOwnerFaults(const std::map<std::string, std::vector<Record>>& aRecords,
                    const std::vector<OwnerFault>& aFaults, Report& aReport)
  -> void;

} // namespace bramleylock::measure
