// Heartbeats, and the membership updates that are piggybacked on messages.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// Heartbeats that a balancer sends in each protocol period in addition to its
/// probe.
static constexpr std::size_t kHeartbeatsPerPeriod = 2;

/// The most domain summaries in a heartbeat.
static constexpr std::size_t kMaxSummariesInHeartbeat = 4;

/// In a fleet of at most this many balancers, each sends its heartbeats to all
/// the others.
static constexpr std::size_t kMaxFullMeshBalancers = 8;

/// The most targets whose requests in flight a heartbeat reports.
static constexpr std::size_t kMaxTargetsInHeartbeat = 16;

/// The most members that an announcement is sent to.
static constexpr std::size_t kMaxAnnouncementReceivers = 16;

/// Minimum interval between announcements of refutations.
static constexpr Milliseconds kRefutationAnnouncementInterval{ 500 };

auto Membership::SendHeartbeats() -> void
{
  wire::Heartbeat heartbeat;
  m_fillHeartbeat(heartbeat);
  m_table.SetSelfState(MemberState::Alive, heartbeat.draining);
  std::vector<std::string> addresses;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state)) {
      addresses.push_back(address);
    }
  }
  for (const auto& address :
       RandomSample(std::move(addresses), kMaxAnnouncementReceivers)) {
    SendHeartbeat(address, 0);
  }
}

auto Membership::Leave() -> void
{
  m_table.SetSelfState(MemberState::Left, true);
  for (const auto& address :
       RandomSample(AliveAddressesInDomain(), kMaxAnnouncementReceivers)) {
    SendSync(address, false);
  }
  for (const auto& domain : OtherDomains()) {
    for (const auto& address : ContactAddressesOf(domain)) {
      SendSync(address, false);
    }
  }
}

/// Reduces the list of requests in flight to the targets with the most
/// requests.
static auto TruncateInFlight(wire::Heartbeat& aHeartbeat) -> void
{
  auto& counts = aHeartbeat.inFlight;
  if (counts.size() <= kMaxTargetsInHeartbeat) {
    return;
  }
  const auto end =
    counts.begin() + static_cast<std::ptrdiff_t>(kMaxTargetsInHeartbeat);
  std::partial_sort(counts.begin(), end, counts.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second > aRight.second;
                    });
  counts.resize(kMaxTargetsInHeartbeat);
}

auto Membership::MakeGossip(const std::string& aReceiver,
                            std::size_t aMaxSummaries, bool aWithInFlight)
  -> wire::Gossip
{
  wire::Gossip gossip;
  m_fillHeartbeat(gossip.heartbeat);
  TruncateInFlight(gossip.heartbeat);
  gossip.hasInFlight = aWithInFlight;
  if (!aWithInFlight) {
    gossip.heartbeat.inFlight.clear();
  }
  gossip.refutation = m_table.SelfRecord().refutation;
  gossip.digest = m_table.Digest();
  const auto* receiver = m_table.Find(aReceiver);
  const bool ownDomain =
    receiver == nullptr || receiver->failureDomain == Self().failureDomain;
  if (ownDomain) {
    gossip.updates = m_table.TakeUpdates();
  }
  if (receiver != nullptr && receiver->state > MemberState::Alive) {
    // A member that is suspected or recorded as dead can refute that only if it
    // is told.
    gossip.updates.push_back(MemberTable::RecordOf(*receiver));
  }
  gossip.domains = m_domains.NextSummaries(aMaxSummaries, Clock::now());
  return gossip;
}

auto Membership::SendHeartbeat(const std::string& aAddress,
                               std::size_t aMaxSummaries) -> void
{
  m_links.SendMessage(aAddress, wire::MessageType::Heartbeat,
                      MakeGossip(aAddress, aMaxSummaries, true));
}

auto Membership::HandleGossip(const wire::Hello& aSender,
                              const wire::Gossip& aGossip) -> void
{
  if (aSender.address == Self().address) {
    return;
  }
  const auto* knownSender = m_table.Find(aSender.address);
  if (knownSender != nullptr &&
      knownSender->incarnation < aSender.incarnation) {
    m_connectFailures.erase(aSender.address);
  }
  const bool accepted = m_table.ApplyMessage(aSender, aGossip, Clock::now());
  if (ApplyRecords(aGossip.updates)) {
    SendHeartbeat(aSender.address, 0);
  }
  if (aGossip.hasInFlight) {
    // Replies do not set this flag, so a reply is never answered by another.
    SendDomainSummaryBack(aSender);
  }
  ApplySummaries(aGossip.domains);
  const auto* member = m_table.Find(aSender.address);
  if (!accepted) {
    // A balancer that was replaced or declared dead is told its record.
    if (member != nullptr && member->incarnation >= aSender.incarnation) {
      m_links.SendMessage(
        aSender.address, wire::MessageType::MemberSync,
        wire::MemberSync{ false, { MemberTable::RecordOf(*member) } });
    }
    return;
  }
  SyncIfDigestsDiffer(aSender, aGossip.digest);
  if (m_heartbeatListener && member != nullptr) {
    m_heartbeatListener(*member);
  }
}

auto Membership::ApplyRecords(const std::vector<wire::MemberRecord>& aRecords)
  -> bool
{
  const auto now = Clock::now();
  const auto incarnation = Self().incarnation;
  bool refuted = false;
  for (const auto& record : aRecords) {
    const bool changed = m_table.Apply(record, now);
    refuted = refuted || (changed && record.address == Self().address);
  }
  if (Self().incarnation != incarnation) {
    m_links.UpdateIdentity(Self());
  }
  if (refuted &&
      now - m_lastRefutationAnnouncement > kRefutationAnnouncementInterval) {
    m_lastRefutationAnnouncement = now;
    SendHeartbeats();
  }
  return refuted;
}

auto Membership::SendPeriodicHeartbeats() -> void
{
  auto inDomain = AliveAddressesInDomain();
  const auto alive = AliveMembers();
  if (alive.size() < kMaxFullMeshBalancers) {
    for (const auto& member : alive) {
      SendHeartbeat(member.address, kMaxSummariesInHeartbeat);
    }
    return;
  }
  for (const auto& address :
       RandomSample(std::move(inDomain), kHeartbeatsPerPeriod)) {
    SendHeartbeat(address, kMaxSummariesInHeartbeat);
  }
}

/// Sends a heartbeat to one unreachable member of this balancer's domain: a
/// candidate, or a dead member that may be reachable again after a network
/// partition.
auto Membership::ContactUnreachableMember() -> void
{
  std::vector<std::string> unreachable;
  for (const auto& [address, member] : m_table.Members()) {
    if (!IsReachable(member.state) && member.state != MemberState::Left &&
        member.failureDomain == Self().failureDomain) {
      unreachable.push_back(address);
    }
  }
  for (const auto& address : RandomSample(std::move(unreachable), 1)) {
    SendHeartbeat(address, 0);
  }
}

} // namespace bramleylock::peer
