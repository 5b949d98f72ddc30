// Heartbeats, and the membership updates that are piggybacked on messages.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// Heartbeats that a balancer sends in each protocol period in addition to its
/// probe.
static constexpr std::size_t kSpreadTo = 2;

/// The most domain summaries in a heartbeat.
static constexpr std::size_t kDomainsInHeartbeat = 4;

/// In a fleet of at most this many balancers, each sends its heartbeats to all
/// the others.
static constexpr std::size_t kSmallFleet = 8;

/// The most targets whose requests in flight a heartbeat reports.
static constexpr std::size_t kTargetsInHeartbeat = 16;

/// The most members that an announcement is sent to.
static constexpr std::size_t kAnnounceTo = 16;

/// Minimum interval between announcements of refutations.
static constexpr Milliseconds kAnnounceRefutationEvery{ 500 };

auto Membership::Announce() -> void
{
  wire::Heartbeat heartbeat;
  m_fill(heartbeat);
  m_table.SetSelf(MemberState::Alive, heartbeat.draining);
  std::vector<std::string> addresses;
  for (const auto& [address, member] : m_table.Members()) {
    if (Reachable(member.state)) {
      addresses.push_back(address);
    }
  }
  for (const auto& address : Choose(std::move(addresses), kAnnounceTo)) {
    SendHeartbeat(address, 0);
  }
}

auto Membership::Leave() -> void
{
  m_table.SetSelf(MemberState::Left, true);
  for (const auto& address : Choose(InDomain(), kAnnounceTo)) {
    SendSync(address, false);
  }
  for (const auto& domain : OtherDomains()) {
    for (const auto& address : ContactsOf(domain)) {
      SendSync(address, false);
    }
  }
}

/// Reduces the list of requests in flight to the targets with the most
/// requests.
static auto BoundInFlight(wire::Heartbeat& aHeartbeat) -> void
{
  auto& counts = aHeartbeat.inFlight;
  if (counts.size() <= kTargetsInHeartbeat) {
    return;
  }
  const auto end =
    counts.begin() + static_cast<std::ptrdiff_t>(kTargetsInHeartbeat);
  std::partial_sort(counts.begin(), end, counts.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second > aRight.second;
                    });
  counts.resize(kTargetsInHeartbeat);
}

auto Membership::MakeGossip(const std::string& aReceiver, std::size_t aDomains,
                            bool aWhole) -> wire::Gossip
{
  wire::Gossip gossip;
  m_fill(gossip.heartbeat);
  BoundInFlight(gossip.heartbeat);
  gossip.whole = aWhole;
  if (!aWhole) {
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
  gossip.domains = m_domains.NextSummaries(aDomains, Clock::now());
  return gossip;
}

auto Membership::SendHeartbeat(const std::string& aAddress,
                               std::size_t aDomains) -> void
{
  m_links.SendMessage(aAddress, wire::MessageType::Heartbeat,
                      MakeGossip(aAddress, aDomains, true));
}

auto Membership::TakeGossip(const wire::Hello& aSender,
                            const wire::Gossip& aGossip) -> void
{
  if (aSender.address == Self().address) {
    return;
  }
  const auto* held = m_table.Find(aSender.address);
  if (held != nullptr && held->incarnation < aSender.incarnation) {
    m_failures.erase(aSender.address);
  }
  const bool heard = m_table.Hear(aSender, aGossip, Clock::now());
  if (TakeRecords(aGossip.updates)) {
    SendHeartbeat(aSender.address, 0);
  }
  if (aGossip.whole) {
    // Replies do not set this flag, so a reply is never answered by another.
    TellOfItsDomain(aSender);
  }
  TakeDomains(aGossip.domains);
  const auto* member = m_table.Find(aSender.address);
  if (!heard) {
    // A balancer that was replaced or declared dead is told its record.
    if (member != nullptr && member->incarnation >= aSender.incarnation) {
      m_links.SendMessage(
        aSender.address, wire::MessageType::MemberSync,
        wire::MemberSync{ false, { MemberTable::RecordOf(*member) } });
    }
    return;
  }
  SyncIfApart(aSender, aGossip.digest);
  if (m_listener && member != nullptr) {
    m_listener(*member);
  }
}

auto Membership::TakeRecords(const std::vector<wire::MemberRecord>& aRecords)
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
    m_links.Introduce(Self());
  }
  if (refuted && now - m_lastRefuted > kAnnounceRefutationEvery) {
    m_lastRefuted = now;
    Announce();
  }
  return refuted;
}

auto Membership::Spread() -> void
{
  auto inDomain = InDomain();
  const auto alive = Alive();
  if (alive.size() < kSmallFleet) {
    for (const auto& member : alive) {
      SendHeartbeat(member.address, kDomainsInHeartbeat);
    }
    return;
  }
  for (const auto& address : Choose(std::move(inDomain), kSpreadTo)) {
    SendHeartbeat(address, kDomainsInHeartbeat);
  }
}

/// Sends a heartbeat to one unreachable member of this balancer's domain: a
/// candidate, or a dead member that may be reachable again after a network
/// partition.
auto Membership::Knock() -> void
{
  std::vector<std::string> silent;
  for (const auto& [address, member] : m_table.Members()) {
    if (!Reachable(member.state) && member.state != MemberState::Left &&
        member.failureDomain == Self().failureDomain) {
      silent.push_back(address);
    }
  }
  for (const auto& address : Choose(std::move(silent), 1)) {
    SendHeartbeat(address, 0);
  }
}

} // namespace bramleylock::peer
