// Merges target records and looks up targets by tag.

#include "bramleylock/Forward/TargetDirectory.h"

#include "bramleylock/Support/SipHash.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace bramleylock::forward {

auto DirectoryEntry::AcceptsNewFlows(Clock::time_point aNow) const -> bool
{
  if (record.State() == TargetState::Ready) {
    return true;
  }
  return record.State() == TargetState::Departed && aNow < graceEndsAt;
}

auto ComputeTag(const std::string& aTargetId, std::uint64_t aIncarnation)
  -> TargetTag
{
  // The tag is not secret: a client that guesses a tag reaches only a target of
  // a service that the packet's route allows anyway.
  const auto tag = static_cast<TargetTag>(
    SipHash(aTargetId + "/" + std::to_string(aIncarnation)));
  return tag == 0 ? 1 : tag;
}

TargetDirectory::TargetDirectory(const PacketCodec& aCodec)
  : m_codec(aCodec)
{
}

auto TargetDirectory::Find(const std::string& aId) -> DirectoryEntry*
{
  const auto found = m_latest.find(aId);
  return found == m_latest.end() ? nullptr : found->second;
}

auto TargetDirectory::OwnerOf(const Address& aAddress) -> DirectoryEntry*
{
  const auto rank = [](const DirectoryEntry& aEntry) {
    return std::tuple(aEntry.record.State() < TargetState::Departed,
                      aEntry.lastWrite, aEntry.record.incarnation);
  };
  const auto range = m_byAddress.equal_range(aAddress);
  const auto owner = std::max_element(
    range.first, range.second, [&rank](const auto& aLeft, const auto& aRight) {
      return rank(*aLeft.second) < rank(*aRight.second);
    });
  return owner == range.second ? nullptr : owner->second;
}

auto TargetDirectory::Contains(const std::string& aId,
                               std::uint64_t aIncarnation) const -> bool
{
  return m_entries.contains({ aId, aIncarnation });
}

template<typename Index, typename Name>
static auto EraseFromIndex(Index& aIndex, const Name& aName,
                           const DirectoryEntry* aEntry) -> void
{
  const auto range = aIndex.equal_range(aName);
  const auto entryIt =
    std::find_if(range.first, range.second,
                 [aEntry](const auto& aRow) { return aRow.second == aEntry; });
  assert(entryIt != range.second);
  aIndex.erase(entryIt);
}

auto TargetDirectory::AddToIndexes(DirectoryEntry& aEntry) -> void
{
  m_byTag.emplace(aEntry.tag, &aEntry);
  m_byAddress.emplace(aEntry.record.EndpointAddress(), &aEntry);
  m_byService[aEntry.record.service].push_back(&aEntry);
}

auto TargetDirectory::RemoveFromIndexes(DirectoryEntry& aEntry) -> void
{
  EraseFromIndex(m_byTag, aEntry.tag, &aEntry);
  EraseFromIndex(m_byAddress, aEntry.record.EndpointAddress(), &aEntry);
  const auto service = m_byService.find(aEntry.record.service);
  assert(service != m_byService.end());
  std::erase(service->second, &aEntry);
  if (service->second.empty()) {
    m_byService.erase(service);
  }
}

auto TargetDirectory::RecordDeparture(DirectoryEntry& aEntry,
                                      Clock::time_point aNow) -> void
{
  aEntry.departedAt = aNow;
  m_departures.emplace_back(aNow,
                            Key{ aEntry.record.id, aEntry.record.incarnation });
}

/// Counts a removal as a write of the target, so that the entry as it was
/// before, in a copy from which the store was restored, is older than it.
static auto CountRemoval(TargetRecord& aRecord) -> void
{
  aRecord.sequence += aRecord.sequence == 0 ? 0 : 1;
}

auto TargetDirectory::MarkDead(DirectoryEntry& aEntry, Clock::time_point aNow)
  -> void
{
  if (aEntry.record.State() == TargetState::Dead) {
    return;
  }
  if (aEntry.record.State() != TargetState::Departed) {
    RecordDeparture(aEntry, aNow);
  }
  aEntry.record.state = static_cast<std::uint8_t>(TargetState::Dead);
  CountRemoval(aEntry.record);
  aEntry.graceEndsAt = {};
}

/// Returns whether the incarnation of aRecord registered after aLatest, another
/// one of its id. A clock that was set back may give it an earlier start time,
/// so start times decide only where the store does not: across generations, and
/// for a departed target, whose record has the revision of its removal.
static auto RegisteredAfter(const TargetRecord& aRecord,
                            const DirectoryEntry& aLatest) -> bool
{
  const auto& lastWrite = aLatest.lastWrite;
  if (lastWrite.number != 0 &&
      lastWrite.generation == aRecord.revision.generation) {
    if (aRecord.revision < lastWrite) {
      return false;
    }
    if (aRecord.State() < TargetState::Departed &&
        aRecord.revision > lastWrite) {
      return true;
    }
  }
  return aRecord.incarnation > aLatest.record.incarnation;
}

/// Returns whether aFormer had ended when aOwner registered at its address: the
/// platform reassigns an address only after its previous target has ended. The
/// start times alone do not show it, because the clocks of two targets differ,
/// nor do the writes alone, because the store may carry out a write late.
static auto EndedBefore(const DirectoryEntry& aFormer,
                        const DirectoryEntry& aOwner) -> bool
{
  const bool comparable =
    aFormer.lastWrite.number != 0 && aOwner.lastWrite.number != 0 &&
    aFormer.lastWrite.generation == aOwner.lastWrite.generation;
  return aFormer.record.incarnation < aOwner.record.incarnation &&
         (!comparable || aFormer.lastWrite < aOwner.lastWrite);
}

/// Marks the earlier targets at the address of a new one as dead, or the new
/// one itself if its record is read after that of a later target.
auto TargetDirectory::MarkFormerOwnersDead(DirectoryEntry& aNewEntry,
                                           Clock::time_point aNow) -> void
{
  const auto range =
    m_byAddress.equal_range(aNewEntry.record.EndpointAddress());
  for (auto entryIt = range.first; entryIt != range.second; ++entryIt) {
    auto& other = *entryIt->second;
    if (other.record.id == aNewEntry.record.id) {
      continue;
    }
    if (EndedBefore(other, aNewEntry)) {
      MarkDead(other, aNow);
    } else if (other.record.State() < TargetState::Departed &&
               EndedBefore(aNewEntry, other)) {
      MarkDead(aNewEntry, aNow);
    }
  }
}

/// Returns whether aRecord reflects a later write than aKnown, the known record
/// of the same incarnation. The store's revisions order the writes of one
/// generation. An entry in the copy from which the store was restored has a
/// higher revision than later writes that were lost, so records of different
/// generations are ordered by the target's own count. The same applies to
/// listed records with equal revisions: one of them may be a lost write that
/// was kept here.
static auto IsLater(const TargetRecord& aRecord, const TargetRecord& aKnown)
  -> bool
{
  const bool counted = aRecord.sequence != 0 && aKnown.sequence != 0 &&
                       aRecord.sequence != aKnown.sequence;
  const bool sameRevision = aRecord.revision == aKnown.revision &&
                            aKnown.State() < TargetState::Departed;
  if (counted && (sameRevision ||
                  aRecord.revision.generation != aKnown.revision.generation)) {
    return aRecord.sequence > aKnown.sequence;
  }
  return aRecord.revision > aKnown.revision;
}

auto TargetDirectory::Apply(const TargetRecord& aRecord, Clock::time_point aNow)
  -> bool
{
  const auto prefix = m_codec.PrefixOf(aRecord.id);
  const auto removal = m_removed.find(aRecord.id);
  const bool outdated =
    removal != m_removed.end() && aRecord.revision <= removal->second.revision;
  if (!prefix || (outdated && aRecord.State() < TargetState::Departed)) {
    return false;
  }
  auto* latest = Find(aRecord.id);
  const bool replaces =
    latest == nullptr || latest->record.incarnation != aRecord.incarnation;
  if (latest != nullptr && replaces && !RegisteredAfter(aRecord, *latest)) {
    return false;
  }
  auto [position, isNew] =
    m_entries.try_emplace({ aRecord.id, aRecord.incarnation });
  auto& entry = position->second;
  const auto revision = std::max(entry.record.revision, aRecord.revision);
  if (!isNew && !IsLater(aRecord, entry.record)) {
    entry.record.revision = revision;
    return false;
  }
  if (replaces) {
    if (latest != nullptr) {
      MarkDead(*latest, aNow);
    }
    m_latest[aRecord.id] = &entry;
  }
  if (isNew) {
    entry.tag = ComputeTag(aRecord.id, aRecord.incarnation);
    entry.prefix = *prefix;
  }
  const bool moved =
    entry.record.EndpointAddress() != aRecord.EndpointAddress() ||
    entry.record.service != aRecord.service;
  const bool changed = isNew || moved || entry.record.state != aRecord.state ||
                       entry.record.slots != aRecord.slots;
  if (!isNew && moved) {
    RemoveFromIndexes(entry);
  }
  // A copy of the store lists a write that is known here once more.
  const bool sameWrite = !isNew && aRecord.sequence != 0 &&
                         aRecord.sequence == entry.record.sequence &&
                         aRecord.state == entry.record.state;
  const bool wasListed = isNew || entry.record.State() < TargetState::Departed;
  entry.record = aRecord;
  entry.record.revision = revision;
  if (aRecord.State() < TargetState::Departed) {
    entry.lastWrite = aRecord.revision;
  }
  if (wasListed && aRecord.State() >= TargetState::Departed) {
    RecordDeparture(entry, aNow);
  }
  if (isNew || moved) {
    AddToIndexes(entry);
  }
  entry.graceEndsAt = {};
  if (!sameWrite) {
    entry.lastUpdateAt = aNow;
    entry.warmUpEndsAt = aNow + Milliseconds(aRecord.warmUpMs);
  }
  if (replaces && aRecord.State() < TargetState::Departed) {
    MarkFormerOwnersDead(entry, aNow);
  }
  return changed;
}

auto TargetDirectory::Remove(const std::string& aId,
                             const StoreRevision& aRevision,
                             Milliseconds aGracePeriod, Clock::time_point aNow)
  -> bool
{
  auto& removal = m_removed[aId];
  removal = { std::max(removal.revision, aRevision), aNow };
  auto* entry = Find(aId);
  if (entry == nullptr || entry->record.revision >= aRevision) {
    return false;
  }
  if (entry->record.State() >= TargetState::Departed) {
    // The store was restored again before the entry could return.
    if (entry->record.revision.generation < aRevision.generation &&
        aNow < entry->graceEndsAt) {
      entry->graceEndsAt = aNow + aGracePeriod;
      entry->record.revision = aRevision;
    }
    return false;
  }
  // A draining target does not return.
  if (entry->record.State() == TargetState::Ready && aGracePeriod.count() > 0) {
    entry->graceEndsAt = aNow + aGracePeriod;
  }
  entry->record.state = static_cast<std::uint8_t>(TargetState::Departed);
  entry->record.revision = aRevision;
  if (aGracePeriod.count() == 0) {
    CountRemoval(entry->record);
  }
  RecordDeparture(*entry, aNow);
  return true;
}

auto TargetDirectory::Expire(Clock::duration aKeep, Clock::time_point aNow)
  -> void
{
  for (; !m_departures.empty() && aNow - m_departures.front().first > aKeep;
       m_departures.pop_front()) {
    const auto position = m_entries.find(m_departures.front().second);
    if (position == m_entries.end() ||
        position->second.record.State() < TargetState::Departed ||
        aNow - position->second.departedAt <= aKeep) {
      // The target was listed again. If it departed once more, there is a later
      // record of it in the queue.
      continue;
    }
    RemoveFromIndexes(position->second);
    const auto latest = m_latest.find(position->first.first);
    if (latest != m_latest.end() && latest->second == &position->second) {
      m_latest.erase(latest);
    }
    m_entries.erase(position);
  }
  m_evacuations.Expire(aKeep, aNow);
  std::erase_if(m_removed, [aKeep, aNow](const auto& aRow) {
    return aNow - aRow.second.at > aKeep;
  });
}

auto TargetDirectory::HasDepartedBefore(Clock::time_point aLimit) const -> bool
{
  return !m_departures.empty() && m_departures.front().first < aLimit;
}

auto TargetDirectory::Lookup(TargetTag aTag, const Address& aService,
                             const RouteTable& aRoutes) -> DirectoryEntry*
{
  const auto range = m_byTag.equal_range(aTag);
  DirectoryEntry* found = nullptr;
  for (auto entryIt = range.first; entryIt != range.second; ++entryIt) {
    auto* entry = entryIt->second;
    if (!aRoutes.Allows(aService, entry->record.service)) {
      continue;
    }
    // If two targets share a tag, only the one with the lower id is given
    // flows, see Candidates.
    if (found == nullptr || entry->record.id < found->record.id) {
      found = entry;
    }
  }
  return found;
}

auto TargetDirectory::FindByTag(TargetTag aTag) -> DirectoryEntry*
{
  const auto found = m_byTag.find(aTag);
  return found == m_byTag.end() ? nullptr : found->second;
}

auto TargetDirectory::Candidates(const std::string& aService,
                                 Clock::time_point aNow)
  -> std::vector<DirectoryEntry*>
{
  std::vector<DirectoryEntry*> candidates;
  const auto found = m_byService.find(aService);
  if (found == m_byService.end()) {
    return candidates;
  }
  for (auto* entry : found->second) {
    if (!MayOpenFlows(*entry, aNow)) {
      continue;
    }
    const auto range = m_byTag.equal_range(entry->tag);
    const bool tagConflict =
      std::any_of(range.first, range.second, [entry](const auto& aRow) {
        return aRow.second != entry &&
               aRow.second->record.service == entry->record.service &&
               aRow.second->record.id < entry->record.id;
      });
    if (!tagConflict) {
      candidates.push_back(entry);
    }
  }
  return candidates;
}

auto TargetDirectory::MayOpenFlows(const DirectoryEntry& aEntry,
                                   Clock::time_point aNow) const -> bool
{
  return aEntry.AcceptsNewFlows(aNow) &&
         !m_evacuations.IsEvacuated(aEntry.record.failureDomain, aNow);
}

auto TargetDirectory::IsEvacuated(const std::string& aService,
                                  Clock::time_point aNow) const -> bool
{
  const auto found = m_byService.find(aService);
  if (found == m_byService.end()) {
    return false;
  }
  bool anyAccepts = false;
  for (const auto* entry : found->second) {
    if (MayOpenFlows(*entry, aNow)) {
      return false;
    }
    anyAccepts = anyAccepts || entry->AcceptsNewFlows(aNow);
  }
  return anyAccepts;
}

auto TargetDirectory::OpenFlowsIn(const std::string& aFailureDomain) const
  -> std::size_t
{
  std::size_t flows = 0;
  for (const auto& [key, entry] : m_entries) {
    if (entry.record.failureDomain == aFailureDomain) {
      flows += entry.stats.openFlows;
    }
  }
  return flows;
}

auto TargetDirectory::Evacuations() -> EvacuationTable&
{
  return m_evacuations;
}

auto TargetDirectory::Evacuations() const -> const EvacuationTable&
{
  return m_evacuations;
}

auto TargetDirectory::All() -> std::vector<DirectoryEntry*>
{
  std::vector<DirectoryEntry*> all;
  for (auto& [key, entry] : m_entries) {
    all.push_back(&entry);
  }
  return all;
}

auto TargetDirectory::RecordsAfter(const StoreRevision& aRevision,
                                   Clock::time_point aNow)
  -> std::vector<TargetRecord>
{
  std::vector<TargetRecord> records;
  for (const auto& [key, entry] : m_entries) {
    if (entry.record.revision <= aRevision) {
      continue;
    }
    auto record = entry.record;
    const auto cold =
      std::chrono::duration_cast<Milliseconds>(entry.warmUpEndsAt - aNow)
        .count();
    record.warmUpMs = static_cast<std::uint32_t>(std::max<long>(0, cold));
    if (aNow < entry.graceEndsAt) {
      // The receiver decides from its own readings whether the entry may
      // return.
      record.state = static_cast<std::uint8_t>(TargetState::Departed);
    }
    records.push_back(std::move(record));
  }
  return records;
}

auto TargetDirectory::Size() const -> std::size_t
{
  return m_entries.size();
}

} // namespace bramleylock::forward
