// Records are ordered by incarnation, refutation and state. A higher record
// replaces a lower one regardless of when it arrives, so all members converge
// on the same view.

#include "bramleylock/Peer/MemberTable.h"

#include "bramleylock/Support/Log.h"

#include <bit>
#include <limits>
#include <tuple>

namespace bramleylock::peer {

/// A suspected member that has not refuted within this time is declared dead.
static constexpr Milliseconds kSuspicionTimeout{ 1500 };

/// How long a member that died or left is kept in the table, so that a delayed
/// update that says it is alive does not bring it back.
static constexpr Milliseconds kDeadMemberRetention{ 60000 };

/// The most changes of one member that are gossiped within kFlapDampingWindow.
static constexpr int kMaxGossipedChanges = 6;
static constexpr Milliseconds kFlapDampingWindow{ 10000 };

/// Transmissions of each update per doubling of the number of members.
static constexpr int kSendsPerDoubling = 3;

auto IsReachable(MemberState aState) -> bool
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

MemberTable::MemberTable(wire::Hello aSelf, Metrics& aMetrics)
  : m_self(std::move(aSelf))
  , m_metrics(aMetrics)
{
  QueueUpdate(m_self.address);
}

auto MemberTable::Self() const -> const wire::Hello&
{
  return m_self;
}

auto MemberTable::SelfRecord() const -> wire::MemberRecord
{
  return { m_self.vm,      m_self.failureDomain,
           m_self.address, m_self.incarnation,
           m_refutation,   static_cast<std::uint8_t>(m_selfState),
           m_selfDraining, m_self.capacityClass };
}

auto MemberTable::SetSelfState(MemberState aState, bool aDraining) -> void
{
  const bool same = m_selfState == aState && m_selfDraining == aDraining;
  if (same || m_selfState == MemberState::Left) {
    return;
  }
  m_selfState = aState;
  m_selfDraining = aDraining;
  ++m_refutation;
  QueueUpdate(m_self.address);
}

auto MemberTable::RecordOf(const Member& aMember) -> wire::MemberRecord
{
  return { aMember.vm,
           aMember.failureDomain,
           aMember.address,
           aMember.incarnation,
           aMember.refutation,
           static_cast<std::uint8_t>(aMember.state),
           aMember.latestHeartbeat.draining,
           aMember.capacityClass };
}

auto MemberTable::AllowIncarnationRenewal() -> void
{
  m_incarnationRenewable = true;
}

auto MemberTable::RenewIncarnation(const wire::MemberRecord& aRecord) -> bool
{
  const bool isMaximum =
    aRecord.incarnation == std::numeric_limits<std::uint64_t>::max();
  if (!m_incarnationRenewable || isMaximum ||
      m_selfState == MemberState::Left) {
    return false;
  }
  LogWarning("incarnation-renewed",
             { { "before", std::to_string(m_self.incarnation) },
               { "held_by_peers", std::to_string(aRecord.incarnation) } });
  m_metrics.Add(Counter::MemberRenewed);
  m_self.incarnation = aRecord.incarnation + 1;
  m_refutation = 0;
  QueueUpdate(m_self.address);
  return true;
}

auto MemberTable::ApplyToSelf(const wire::MemberRecord& aRecord) -> bool
{
  if (aRecord.incarnation > m_self.incarnation) {
    return RenewIncarnation(aRecord);
  }
  const bool sameIncarnation = aRecord.incarnation == m_self.incarnation;
  const bool harmless =
    aRecord.state == static_cast<std::uint8_t>(m_selfState) ||
    aRecord.state == static_cast<std::uint8_t>(MemberState::Alive);
  if (!sameIncarnation || harmless || aRecord.refutation < m_refutation) {
    return false;
  }
  // The tokens of open flows name the incarnation, so a refutation must not
  // change it and uses a number of its own.
  m_refutation = aRecord.refutation + 1;
  m_metrics.Add(Counter::MemberRefuted);
  LogWarning("refuted", { { "refutation", std::to_string(m_refutation) } });
  QueueUpdate(m_self.address);
  return true;
}

auto MemberTable::Apply(const wire::MemberRecord& aRecord,
                        Clock::time_point aNow) -> bool
{
  if (aRecord.address == m_self.address) {
    return ApplyToSelf(aRecord);
  }
  const auto state = static_cast<MemberState>(aRecord.state);
  if (aRecord.address.empty() || state <= MemberState::Candidate ||
      state > MemberState::Left) {
    return false;
  }
  auto& member = m_members[aRecord.address];
  const auto held =
    std::tuple(member.incarnation, member.refutation, member.state);
  const auto received =
    std::tuple(aRecord.incarnation, aRecord.refutation, state);
  if (received <= held) {
    if (received < held) {
      m_metrics.Add(Counter::MemberStale);
    }
    return false;
  }
  if (aRecord.incarnation > member.incarnation) {
    member.latestHeartbeat = {};
    member.capacityClass = 0;
  }
  // A relay of an older build does not pass the class on.
  if (aRecord.capacityClass != 0) {
    member.capacityClass = aRecord.capacityClass;
  }
  const bool reachabilityUnchanged =
    IsReachable(member.state) == IsReachable(state);
  member.vm = aRecord.vm;
  member.failureDomain = aRecord.failureDomain;
  member.address = aRecord.address;
  member.incarnation = aRecord.incarnation;
  member.refutation = aRecord.refutation;
  member.state = state;
  member.latestHeartbeat.draining = aRecord.draining;
  member.changedAt = aNow;
  if (state == MemberState::Dead) {
    m_metrics.Add(Counter::MemberDied);
  }
  if (!reachabilityUnchanged) {
    LogInfo("member-changed",
            { { "peer", member.vm },
              { "state", std::string(NameOf(kMemberStateNames, state)) } });
  }
  if (!ExceedsChangeLimit(member, aNow) &&
      member.failureDomain == m_self.failureDomain) {
    QueueUpdate(member.address);
  }
  return true;
}

auto MemberTable::ExceedsChangeLimit(Member& aMember, Clock::time_point aNow)
  -> bool
{
  if (aNow - aMember.changeWindowStart > kFlapDampingWindow) {
    aMember.changeWindowStart = aNow;
    aMember.recentChanges = 0;
  }
  if (++aMember.recentChanges <= kMaxGossipedChanges) {
    return false;
  }
  // The rest of the domain learns the final state later, by comparing digests.
  m_metrics.Add(Counter::MemberDamped);
  return true;
}

auto MemberTable::ApplyMessage(const wire::Hello& aSender,
                               const wire::Gossip& aGossip,
                               Clock::time_point aNow) -> bool
{
  auto* known = Find(aSender.address);
  if (known != nullptr && aSender.incarnation < known->incarnation) {
    m_metrics.Add(Counter::MemberStale);
    return false;
  }
  Apply({ aSender.vm, aSender.failureDomain, aSender.address,
          aSender.incarnation, aGossip.refutation,
          static_cast<std::uint8_t>(MemberState::Alive),
          aGossip.heartbeat.draining, aSender.capacityClass },
        aNow);
  auto& member = m_members[aSender.address];
  if (!IsReachable(member.state)) {
    return false;
  }
  member.lastMessageAt = aNow;
  member.capacityClass = aSender.capacityClass;
  auto inFlight = std::move(member.latestHeartbeat.inFlight);
  member.latestHeartbeat = aGossip.heartbeat;
  if (!aGossip.hasInFlight) {
    member.latestHeartbeat.inFlight = std::move(inFlight);
  }
  return true;
}

auto MemberTable::Suspect(const std::string& aAddress, Clock::time_point aNow)
  -> void
{
  auto* member = Find(aAddress);
  if (member == nullptr || member->state != MemberState::Alive) {
    return;
  }
  m_metrics.Add(Counter::MemberSuspected);
  auto record = RecordOf(*member);
  record.state = static_cast<std::uint8_t>(MemberState::Suspect);
  Apply(record, aNow);
}

auto MemberTable::Expire(Clock::time_point aNow) -> void
{
  std::vector<std::string> expired;
  for (auto& [address, member] : m_members) {
    if (member.state == MemberState::Suspect &&
        aNow - member.changedAt > kSuspicionTimeout) {
      auto record = RecordOf(member);
      record.state = static_cast<std::uint8_t>(MemberState::Dead);
      Apply(record, aNow);
    }
    const bool gone = member.state > MemberState::Suspect;
    if (gone && aNow - member.changedAt > kDeadMemberRetention) {
      expired.push_back(address);
    }
  }
  for (const auto& address : expired) {
    Remove(address);
  }
}

auto MemberTable::AddCandidate(const std::string& aVm,
                               const std::string& aFailureDomain,
                               const std::string& aAddress) -> void
{
  if (aAddress == m_self.address) {
    return;
  }
  auto [position, added] = m_members.try_emplace(aAddress);
  if (added) {
    position->second.vm = aVm;
    position->second.failureDomain = aFailureDomain;
    position->second.address = aAddress;
  }
}

auto MemberTable::Find(const std::string& aAddress) -> Member*
{
  const auto found = m_members.find(aAddress);
  return found == m_members.end() ? nullptr : &found->second;
}

auto MemberTable::Members() const -> const std::map<std::string, Member>&
{
  return m_members;
}

auto MemberTable::Remove(const std::string& aAddress) -> void
{
  m_members.erase(aAddress);
}

auto MemberTable::SendsPerUpdate() const -> int
{
  return kSendsPerDoubling *
         static_cast<int>(std::bit_width(m_members.size() + 1));
}

auto MemberTable::QueueUpdate(const std::string& aAddress) -> void
{
  std::erase_if(m_pendingUpdates, [&](const PendingUpdate& aUpdate) {
    return aUpdate.address == aAddress;
  });
  // The newest update is sent first because it has been sent least often.
  m_pendingUpdates.push_front({ aAddress, SendsPerUpdate() });
}

auto MemberTable::TakeUpdates() -> std::vector<wire::MemberRecord>
{
  std::vector<wire::MemberRecord> updates;
  const auto count = std::min(kMaxUpdatesPerMessage, m_pendingUpdates.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto update = m_pendingUpdates.front();
    m_pendingUpdates.pop_front();
    const auto* member = Find(update.address);
    if (update.address == m_self.address) {
      updates.push_back(SelfRecord());
    } else if (member != nullptr) {
      updates.push_back(RecordOf(*member));
    } else {
      continue;
    }
    if (--update.remainingSends > 0) {
      m_pendingUpdates.push_back(std::move(update));
    }
  }
  return updates;
}

auto MemberTable::Digest() const -> std::uint64_t
{
  const auto hash = [](const std::string& aAddress,
                       std::uint64_t aIncarnation) {
    return std::hash<std::string>{}(aAddress + '#' +
                                    std::to_string(aIncarnation));
  };
  std::uint64_t digest = hash(m_self.address, m_self.incarnation);
  for (const auto& [address, member] : m_members) {
    if (IsReachable(member.state) &&
        member.failureDomain == m_self.failureDomain) {
      digest ^= hash(address, member.incarnation);
    }
  }
  return digest;
}

} // namespace bramleylock::peer
