// Full exchange of member records, for joining and for repairing missed
// updates.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// Full records are exchanged once the digests have differed for kApartLimit,
/// and at most once per kSyncEvery or, if longer, kSyncEveryPerMember for each
/// member. A joining balancer exchanges them at the first difference.
static constexpr Milliseconds kApartLimit{ 1500 };
static constexpr Milliseconds kSyncEvery{ 3000 };
static constexpr Milliseconds kSyncEveryPerMember{ 50 };

auto Membership::SyncIfApart(const wire::Hello& aSender, std::uint64_t aDigest)
  -> void
{
  if (aSender.failureDomain != Self().failureDomain) {
    return;
  }
  const auto now = Clock::now();
  if (aDigest == m_table.Digest()) {
    m_apartSince = {};
    return;
  }
  if (m_apartSince == Clock::time_point{}) {
    m_apartSince = now;
  }
  const auto size = static_cast<int>(m_table.Members().size());
  const auto every =
    std::max<Milliseconds>(kSyncEvery, kSyncEveryPerMember * size);
  const bool joining = m_lastSync == Clock::time_point{};
  if (joining ||
      (now - m_apartSince > kApartLimit && now - m_lastSync > every)) {
    m_lastSync = now;
    m_metrics.Add(Counter::MemberSyncs);
    SendSync(aSender.address, true);
  }
}

auto Membership::SendSync(const std::string& aAddress, bool aWantAnswer) -> void
{
  wire::MemberSync sync{ aWantAnswer, { m_table.SelfRecord() } };
  const auto* receiver = m_table.Find(aAddress);
  const bool ownDomain =
    receiver == nullptr || receiver->failureDomain == Self().failureDomain;
  for (const auto& [address, member] : m_table.Members()) {
    if (ownDomain && member.state != MemberState::Candidate &&
        member.failureDomain == Self().failureDomain) {
      sync.records.push_back(MemberTable::RecordOf(member));
    }
  }
  m_links.SendMessage(aAddress, wire::MessageType::MemberSync, sync);
}

auto Membership::TakeSync(const wire::Hello& aSender,
                          const wire::MemberSync& aSync) -> void
{
  if (TakeRecords(aSync.records)) {
    SendHeartbeat(aSender.address, 0);
  }
  if (aSync.wantAnswer) {
    SendSync(aSender.address, false);
  }
}

} // namespace bramleylock::peer
