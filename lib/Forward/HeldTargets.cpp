// Keeps target records until the routes name their services.

#include "bramleylock/Forward/HeldTargets.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace bramleylock::forward {

auto HeldTargets::Hold(const TargetRecord& aRecord) -> bool
{
  const auto [position, isNew] = m_records.try_emplace(aRecord.id, aRecord);
  auto& known = position->second;
  if (isNew) {
    return true;
  }
  if (aRecord.revision <= known.revision) {
    return false;
  }
  const bool changed = known.service != aRecord.service;
  known = aRecord;
  return changed;
}

auto HeldTargets::Discard(const std::string& aId,
                          const StoreRevision& aRevision) -> bool
{
  const auto found = m_records.find(aId);
  if (found == m_records.end() || found->second.revision > aRevision) {
    return false;
  }
  m_records.erase(found);
  return true;
}

auto HeldTargets::DiscardMissing(const std::vector<TargetRecord>& aListed,
                                 const StoreRevision& aRevision) -> void
{
  if (m_records.empty()) {
    return;
  }
  std::set<std::string_view> listed;
  for (const auto& record : aListed) {
    listed.insert(record.id);
  }
  std::erase_if(m_records, [&listed, &aRevision](const auto& aRow) {
    return aRow.second.revision < aRevision && !listed.contains(aRow.first);
  });
}

auto HeldTargets::Release(const RouteTable& aRoutes)
  -> std::vector<TargetRecord>
{
  std::vector<TargetRecord> released;
  for (auto position = m_records.begin(); position != m_records.end();) {
    if (!aRoutes.NamesService(position->second.service)) {
      ++position;
      continue;
    }
    released.push_back(std::move(position->second));
    position = m_records.erase(position);
  }
  return released;
}

auto HeldTargets::RecordsAfter(const StoreRevision& aRevision) const
  -> std::vector<TargetRecord>
{
  std::vector<TargetRecord> records;
  for (const auto& [id, record] : m_records) {
    if (record.revision > aRevision) {
      records.push_back(record);
    }
  }
  return records;
}

auto HeldTargets::Contains(const std::string& aId,
                           std::uint64_t aIncarnation) const -> bool
{
  const auto found = m_records.find(aId);
  return found != m_records.end() && found->second.incarnation == aIncarnation;
}

} // namespace bramleylock::forward
