// Target records whose service the routes do not name.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

/// Keeps the latest record of each id whose service the routes in force do not
/// name. Such a record names no target to use and says nothing about other
/// targets until a version of the routes names its service.
class HeldTargets
{
public:
  /// Keeps aRecord if it is later than the known one of its id. Returns true if
  /// there was none or if its service changed.
  auto Hold(const TargetRecord& aRecord) -> bool;

  /// Discards the record of aId if it is not later than aRevision. Returns
  /// whether it was discarded.
  auto Discard(const std::string& aId, const StoreRevision& aRevision) -> bool;

  /// Discards the records that a full listing of aRevision does not contain.
  auto DiscardMissing(const std::vector<TargetRecord>& aListed,
                      const StoreRevision& aRevision) -> void;

  /// Removes and returns the records whose services aRoutes names.
  auto Release(const RouteTable& aRoutes) -> std::vector<TargetRecord>;

  /// Returns the records that changed after aRevision.
  auto RecordsAfter(const StoreRevision& aRevision) const
    -> std::vector<TargetRecord>;

  auto Contains(const std::string& aId, std::uint64_t aIncarnation) const
    -> bool;

private:
  std::map<std::string, TargetRecord> m_records;
};

} // namespace bramleylock::forward
