// Full exchange of member records, for joining and for repairing missed
// updates.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// Full records are exchanged once the digests have differed for
/// kDigestsDifferTimeout, and at most once per kMinSyncInterval or, if longer,
/// kSyncIntervalPerMember for each member. A joining balancer exchanges them at
/// the first difference.
static constexpr Milliseconds kDigestsDifferTimeout{ 1500 };
static constexpr Milliseconds kMinSyncInterval{ 3000 };
static constexpr Milliseconds kSyncIntervalPerMember{ 50 };

auto Membership::SyncIfDigestsDiffer(const wire::Hello& aSender,
                                     std::uint64_t aDigest) -> void
{
  if (aSender.failureDomain != Self().failureDomain) {
    return;
  }
  const auto now = Clock::now();
  if (aDigest == m_table.Digest()) {
    m_digestsDifferSince = {};
    return;
  }
  if (m_digestsDifferSince == Clock::time_point{}) {
    m_digestsDifferSince = now;
  }
  const auto size = static_cast<int>(m_table.Members().size());
  const auto interval =
    std::max<Milliseconds>(kMinSyncInterval, kSyncIntervalPerMember * size);
  const bool isFirstSync = m_lastSync == Clock::time_point{};
  if (isFirstSync || (now - m_digestsDifferSince > kDigestsDifferTimeout &&
                      now - m_lastSync > interval)) {
    m_lastSync = now;
    m_metrics.Add(Counter::MemberSyncs);
    SendSync(aSender.address, true);
  }
}

auto Membership::SendSync(const std::string& aAddress, bool aAnswerRequested)
  -> void
{
  wire::MemberSync sync{ aAnswerRequested, { m_table.SelfRecord() } };
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

auto Membership::HandleSync(const wire::Hello& aSender,
                            const wire::MemberSync& aSync) -> void
{
  if (ApplyRecords(aSync.records)) {
    SendHeartbeat(aSender.address, 0);
  }
  if (aSync.answerRequested) {
    SendSync(aSender.address, false);
  }
}

} // namespace bramleylock::peer
