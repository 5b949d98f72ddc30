// Merges evacuations by store revision.

#include "bramleylock/Forward/EvacuationTable.h"

#include <algorithm>

namespace bramleylock::forward {

/// Maximum number of failure domains with a record. Deployments have a dozen;
/// other programs may write any number of names.
static constexpr std::size_t kMaxEntries = 256;

auto EvacuationTable::IsInForce(const Entry& aEntry, Clock::time_point aNow)
  -> bool
{
  return aEntry.evacuated && aNow < aEntry.endsAt;
}

auto EvacuationTable::Apply(const EvacuationRecord& aRecord,
                            Clock::time_point aNow) -> bool
{
  if (m_entries.size() >= kMaxEntries &&
      !m_entries.contains(aRecord.failureDomain)) {
    std::erase_if(m_entries,
                  [](const auto& aRow) { return !aRow.second.evacuated; });
    if (m_entries.size() >= kMaxEntries) {
      return false;
    }
  }
  auto& entry = m_entries[aRecord.failureDomain];
  if (aRecord.revision <= entry.revision) {
    return false;
  }
  const bool isNew = entry.revision == StoreRevision();
  const bool wasInForce = IsInForce(entry, aNow);
  if (isNew || wasInForce != aRecord.evacuated) {
    entry.since = aNow - Milliseconds(aRecord.ageMs);
  }
  entry.evacuated = aRecord.evacuated;
  entry.revision = aRecord.revision;
  entry.endsAt = Clock::time_point::max();
  return wasInForce != aRecord.evacuated;
}

auto EvacuationTable::EndMissing(const std::vector<EvacuationRecord>& aListed,
                                 const StoreRevision& aRevision,
                                 Milliseconds aGracePeriod,
                                 Clock::time_point aNow)
  -> std::vector<std::string>
{
  std::vector<std::string> ended;
  for (auto& [domain, entry] : m_entries) {
    const bool listed =
      std::any_of(aListed.begin(), aListed.end(),
                  [&name = domain](const EvacuationRecord& aRow) {
                    return aRow.evacuated && aRow.failureDomain == name;
                  });
    // One that ends after a grace period keeps it at the next full state.
    const bool ending = entry.endsAt != Clock::time_point::max();
    if (listed || ending || !entry.evacuated || entry.revision > aRevision) {
      continue;
    }
    ended.push_back(domain);
    if (aGracePeriod.count() > 0) {
      entry.endsAt = aNow + aGracePeriod;
      continue;
    }
    entry.evacuated = false;
    entry.revision = aRevision;
    entry.since = aNow;
  }
  return ended;
}

auto EvacuationTable::IsEvacuated(const std::string& aFailureDomain,
                                  Clock::time_point aNow) const -> bool
{
  const auto found = m_entries.find(aFailureDomain);
  return found != m_entries.end() && IsInForce(found->second, aNow);
}

auto EvacuationTable::Contains(const std::string& aFailureDomain) const -> bool
{
  return m_entries.contains(aFailureDomain);
}

auto EvacuationTable::InForce(Clock::time_point aNow) const
  -> std::vector<Evacuation>
{
  std::vector<Evacuation> inForce;
  for (const auto& [domain, entry] : m_entries) {
    if (IsInForce(entry, aNow)) {
      inForce.push_back({ domain, entry.since });
    }
  }
  return inForce;
}

auto EvacuationTable::RecordsAfter(const StoreRevision& aRevision,
                                   Clock::time_point aNow) const
  -> std::vector<EvacuationRecord>
{
  std::vector<EvacuationRecord> records;
  for (const auto& [domain, entry] : m_entries) {
    // The receiver decides from its own readings how long an evacuation that a
    // restored store lacks stays in force.
    const bool lacking = entry.endsAt != Clock::time_point::max();
    if (entry.revision > aRevision && !lacking) {
      const auto age =
        std::chrono::duration_cast<Milliseconds>(aNow - entry.since);
      records.push_back({ domain, entry.evacuated, entry.revision,
                          static_cast<std::uint32_t>(age.count()) });
    }
  }
  return records;
}

auto EvacuationTable::Expire(Clock::duration aKeep, Clock::time_point aNow)
  -> void
{
  std::erase_if(m_entries, [aKeep, aNow](const auto& aRow) {
    const auto& entry = aRow.second;
    const auto endedAt = entry.evacuated ? entry.endsAt : entry.since;
    return endedAt < aNow && aNow - endedAt > aKeep;
  });
}

} // namespace bramleylock::forward
