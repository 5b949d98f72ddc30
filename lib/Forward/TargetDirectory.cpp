// Merging of target records, and the lookup of tags.

#include "bramleylock/Forward/TargetDirectory.h"

#include "bramleylock/Support/SipHash.h"

#include <algorithm>
#include <cassert>

namespace bramleylock::forward {

auto DirectoryEntry::TakesFlows(Clock::time_point aNow) const -> bool
{
  if (record.State() == TargetState::Ready) {
    return true;
  }
  return record.State() == TargetState::Departed && aNow < lapseEnds;
}

auto TagOf(const std::string& aTargetId, std::uint64_t aIncarnation)
  -> TargetTag
{
  // Anybody can compute it: whoever guesses a tag reaches only a target of the
  // service that the packet's route allows anyway.
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
  const auto next = m_entries.upper_bound({ aId, ~std::uint64_t{ 0 } });
  if (next == m_entries.begin()) {
    return nullptr;
  }
  const auto last = std::prev(next);
  return last->first.first == aId ? &last->second : nullptr;
}

auto TargetDirectory::Knows(const std::string& aId,
                            std::uint64_t aIncarnation) const -> bool
{
  return m_entries.contains({ aId, aIncarnation });
}

template<typename Index, typename Name>
static auto DropFrom(Index& aIndex, const Name& aName,
                     const DirectoryEntry* aEntry) -> void
{
  const auto range = aIndex.equal_range(aName);
  const auto row =
    std::find_if(range.first, range.second,
                 [aEntry](const auto& aRow) { return aRow.second == aEntry; });
  assert(row != range.second);
  aIndex.erase(row);
}

auto TargetDirectory::AddToIndexes(DirectoryEntry& aEntry) -> void
{
  m_byTag.emplace(aEntry.tag, &aEntry);
  m_byAddress.emplace(aEntry.record.At(), &aEntry);
  m_byService[aEntry.record.service].push_back(&aEntry);
}

auto TargetDirectory::DropFromIndexes(DirectoryEntry& aEntry) -> void
{
  DropFrom(m_byTag, aEntry.tag, &aEntry);
  DropFrom(m_byAddress, aEntry.record.At(), &aEntry);
  const auto service = m_byService.find(aEntry.record.service);
  assert(service != m_byService.end());
  std::erase(service->second, &aEntry);
  if (service->second.empty()) {
    m_byService.erase(service);
  }
}

auto TargetDirectory::NoteGone(DirectoryEntry& aEntry, Clock::time_point aNow)
  -> void
{
  aEntry.departedAt = aNow;
  m_gone.emplace_back(aNow, Key{ aEntry.record.id, aEntry.record.incarnation });
}

auto TargetDirectory::MarkDead(DirectoryEntry& aEntry, Clock::time_point aNow)
  -> void
{
  if (aEntry.record.State() == TargetState::Dead) {
    return;
  }
  if (aEntry.record.State() != TargetState::Departed) {
    NoteGone(aEntry, aNow);
  }
  aEntry.record.state = static_cast<std::uint8_t>(TargetState::Dead);
  aEntry.lapseEnds = {};
}

/// Whoever had the address of a newcomer has ended: addresses are assigned
/// again only after that.
auto TargetDirectory::RetireAddress(const DirectoryEntry& aNewcomer,
                                    Clock::time_point aNow) -> void
{
  const auto range = m_byAddress.equal_range(aNewcomer.record.At());
  for (auto row = range.first; row != range.second; ++row) {
    auto& entry = *row->second;
    if (&entry != &aNewcomer &&
        entry.record.incarnation < aNewcomer.record.incarnation) {
      MarkDead(entry, aNow);
    }
  }
}

auto TargetDirectory::Apply(const TargetRecord& aRecord, Clock::time_point aNow)
  -> bool
{
  const auto prefix = m_codec.PrefixOf(aRecord.id);
  const auto ended = m_ended.find(aRecord.id);
  const bool old =
    ended != m_ended.end() && aRecord.revision <= ended->second.revision;
  if (!prefix || (old && aRecord.State() < TargetState::Departed)) {
    return false;
  }
  auto* latest = Find(aRecord.id);
  if (latest != nullptr && latest->record.incarnation > aRecord.incarnation) {
    return false;
  }
  auto [place, isNew] =
    m_entries.try_emplace({ aRecord.id, aRecord.incarnation });
  auto& entry = place->second;
  if (!isNew && entry.record.revision >= aRecord.revision) {
    return false;
  }
  if (isNew) {
    if (latest != nullptr) {
      MarkDead(*latest, aNow);
    }
    entry.tag = TagOf(aRecord.id, aRecord.incarnation);
    entry.prefix = *prefix;
  }
  const bool moved = entry.record.At() != aRecord.At() ||
                     entry.record.service != aRecord.service;
  const bool changed = isNew || moved || entry.record.state != aRecord.state ||
                       entry.record.slots != aRecord.slots;
  if (!isNew && moved) {
    DropFromIndexes(entry);
  }
  const bool wasListed = isNew || entry.record.State() < TargetState::Departed;
  entry.record = aRecord;
  if (wasListed && aRecord.State() >= TargetState::Departed) {
    NoteGone(entry, aNow);
  }
  if (isNew || moved) {
    AddToIndexes(entry);
  }
  entry.heardAt = aNow;
  entry.lapseEnds = {};
  entry.warmAt = aNow + Milliseconds(aRecord.coldMs);
  if (isNew && aRecord.State() < TargetState::Departed) {
    RetireAddress(entry, aNow);
  }
  return changed;
}

auto TargetDirectory::Remove(const std::string& aId, std::uint64_t aRevision,
                             Milliseconds aLapse, Clock::time_point aNow)
  -> bool
{
  auto& ended = m_ended[aId];
  ended = { std::max(ended.revision, aRevision), aNow };
  auto* entry = Find(aId);
  if (entry == nullptr || entry->record.revision >= aRevision ||
      entry->record.State() >= TargetState::Departed) {
    return false;
  }
  // An entry that was draining is gone for good.
  if (entry->record.State() == TargetState::Ready && aLapse.count() > 0) {
    entry->lapseEnds = aNow + aLapse;
  }
  entry->record.state = static_cast<std::uint8_t>(TargetState::Departed);
  entry->record.revision = aRevision;
  NoteGone(*entry, aNow);
  return true;
}

auto TargetDirectory::Expire(Clock::duration aKeep, Clock::time_point aNow)
  -> void
{
  for (; !m_gone.empty() && aNow - m_gone.front().first > aKeep;
       m_gone.pop_front()) {
    const auto place = m_entries.find(m_gone.front().second);
    if (place == m_entries.end() ||
        place->second.record.State() < TargetState::Departed ||
        aNow - place->second.departedAt <= aKeep) {
      // It was listed again; if it left again, that stands further back.
      continue;
    }
    DropFromIndexes(place->second);
    m_entries.erase(place);
  }
  std::erase_if(m_ended, [aKeep, aNow](const auto& aRow) {
    return aNow - aRow.second.at > aKeep;
  });
}

auto TargetDirectory::HasGoneBefore(Clock::time_point aLimit) const -> bool
{
  return !m_gone.empty() && m_gone.front().first < aLimit;
}

auto TargetDirectory::Lookup(TargetTag aTag, const Address& aService,
                             const RouteTable& aRoutes) -> DirectoryEntry*
{
  const auto range = m_byTag.equal_range(aTag);
  DirectoryEntry* found = nullptr;
  for (auto row = range.first; row != range.second; ++row) {
    auto* entry = row->second;
    if (!aRoutes.Allows(aService, entry->record.service)) {
      continue;
    }
    // Of two targets with one tag only the first by id is given flows, see
    // Candidates; the other has none.
    if (found == nullptr || entry->record.id < found->record.id) {
      found = entry;
    }
  }
  return found;
}

auto TargetDirectory::FindTag(TargetTag aTag) -> DirectoryEntry*
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
    if (!entry->TakesFlows(aNow)) {
      continue;
    }
    const auto range = m_byTag.equal_range(entry->tag);
    const bool hidden =
      std::any_of(range.first, range.second, [entry](const auto& aRow) {
        return aRow.second != entry &&
               aRow.second->record.service == entry->record.service &&
               aRow.second->record.id < entry->record.id;
      });
    if (!hidden) {
      candidates.push_back(entry);
    }
  }
  return candidates;
}

auto TargetDirectory::All() -> std::vector<DirectoryEntry*>
{
  std::vector<DirectoryEntry*> all;
  for (auto& [key, entry] : m_entries) {
    all.push_back(&entry);
  }
  return all;
}

auto TargetDirectory::RecordsAfter(std::uint64_t aRevision,
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
      std::chrono::duration_cast<Milliseconds>(entry.warmAt - aNow).count();
    record.coldMs = static_cast<std::uint32_t>(std::max<long>(0, cold));
    if (aNow < entry.lapseEnds) {
      // The receiver has to judge the entry by its own reading.
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
