// Exchange of summaries between failure domains. Each domain has a few relays,
// which all its members select by the same rule; they exchange summaries with
// the relays of the other domains.

#include "bramleylock/Peer/Membership.h"

#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Rendezvous.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::peer {

/// Number of relays, the balancers of a domain that communicate with other
/// domains.
static constexpr std::size_t kRelayCount = 2;

/// A member of another domain that sent a message within this time counts as
/// alive even if the summaries of its domain stopped: the balancer that updates
/// them may have failed and not been replaced yet.
static constexpr Milliseconds kRecentMessagePeriod{ 2000 };

/// The most summaries that a message to another domain carries in addition to
/// that of the sender's own domain.
static constexpr std::size_t kMaxRelayedSummaries = 3;

auto Membership::SetCandidates(const std::vector<MemberCandidate>& aCandidates)
  -> void
{
  std::map<std::string, std::vector<std::string>> addressesByDomain;
  std::map<std::string, const MemberCandidate*> byAddress;
  for (const auto& candidate : aCandidates) {
    byAddress[candidate.address] = &candidate;
    if (candidate.failureDomain == Self().failureDomain) {
      m_table.AddCandidate(candidate.vm, candidate.failureDomain,
                           candidate.address);
      continue;
    }
    addressesByDomain[candidate.failureDomain].push_back(candidate.address);
  }
  // The platform's list lags behind. It only adds addresses to contact, and
  // only removes candidates, which are members not known to be reachable.
  std::vector<std::string> unlisted;
  for (const auto& [address, member] : m_table.Members()) {
    if (member.state == MemberState::Candidate &&
        !byAddress.contains(address)) {
      unlisted.push_back(address);
    }
  }
  for (const auto& address : unlisted) {
    m_table.Remove(address);
  }
  for (auto& [domain, addresses] : addressesByDomain) {
    auto order = RendezvousOrder(domain, std::move(addresses));
    order.resize(std::min(order.size(), DomainTable::kMaxSummaryMembers));
    for (const auto& address : order) {
      const auto* candidate = byAddress.at(address);
      m_table.AddCandidate(candidate->vm, candidate->failureDomain,
                           candidate->address);
    }
  }
}

auto Membership::AliveByDomain() const -> std::map<std::string, std::size_t>
{
  std::map<std::string, std::size_t> alive;
  alive[Self().failureDomain] = 1 + AliveAddressesInDomain().size();
  for (const auto& [domain, view] : m_domains.Views()) {
    if (domain != Self().failureDomain && !view.lost) {
      alive[domain] = view.summary.aliveCount;
    }
  }
  return alive;
}

auto Membership::CapacityClassesInDomain() const
  -> std::map<std::string, std::uint8_t>
{
  std::map<std::string, std::uint8_t> classes;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      classes[address] = member.capacityClass;
    }
  }
  return classes;
}

auto Membership::AliveCount() const -> std::size_t
{
  std::size_t count = 0;
  for (const auto& [domain, alive] : AliveByDomain()) {
    count += alive;
  }
  return count;
}

auto Membership::LowestInOwnDomain(KeyIdField aField) const -> std::uint32_t
{
  wire::Heartbeat own;
  m_fillHeartbeat(own);
  auto lowest = own.*aField;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      lowest = std::min(lowest, member.latestHeartbeat.*aField);
    }
  }
  return lowest;
}

auto Membership::LowestByDomain(KeyIdField aField,
                                KeyIdSummaryField aSummaryField) const
  -> std::map<std::string, std::uint32_t>
{
  std::map<std::string, std::uint32_t> lowest;
  lowest[Self().failureDomain] = LowestInOwnDomain(aField);
  for (const auto& [domain, view] : m_domains.Views()) {
    if (domain != Self().failureDomain && !view.lost) {
      lowest[domain] = view.summary.*aSummaryField;
    }
  }
  return lowest;
}

auto Membership::LowestKeyIdByDomain() const
  -> std::map<std::string, std::uint32_t>
{
  return LowestByDomain(&wire::Heartbeat::newestKeyId,
                        &wire::DomainSummary::lowestKeyId);
}

auto Membership::LowestSigningKeyIdByDomain() const
  -> std::map<std::string, std::uint32_t>
{
  return LowestByDomain(&wire::Heartbeat::signingKeyId,
                        &wire::DomainSummary::lowestSigningKeyId);
}

auto Membership::LostDomains() const -> std::vector<std::string>
{
  std::vector<std::string> lost;
  for (const auto& [domain, view] : m_domains.Views()) {
    if (view.lost) {
      lost.push_back(domain);
    }
  }
  return lost;
}

auto Membership::ApplySummaries(
  const std::vector<wire::DomainSummary>& aSummaries) -> void
{
  const auto now = Clock::now();
  for (const auto& summary : aSummaries) {
    const auto* previous = m_domains.Find(summary.failureDomain);
    const bool wasLost = previous != nullptr && previous->lost;
    if (summary.failureDomain == Self().failureDomain) {
      // This is done even if the version is not higher: members of one domain
      // that do not know each other increment their versions independently.
      AddCandidatesFrom(summary);
    }
    if (!m_domains.Apply(summary, now) ||
        summary.failureDomain == Self().failureDomain) {
      continue;
    }
    ApplySummaryMembers(m_domains.Find(summary.failureDomain)->summary,
                        !summary.members.empty() || wasLost);
  }
}

/// Sends the summary of the sender's own failure domain back to a sender that
/// it does not name. The relays of a domain come first in its summary, so a
/// balancer that acts as a relay without being named does not know the other
/// members. Without this message, the members of a domain without a seed would
/// never find each other.
auto Membership::SendDomainSummaryBack(const wire::Hello& aSender) -> void
{
  const auto* view = m_domains.Find(aSender.failureDomain);
  if (aSender.failureDomain == Self().failureDomain || view == nullptr ||
      view->summary.members.empty()) {
    return;
  }
  const auto& members = view->summary.members;
  const bool named =
    std::any_of(members.begin(), members.end(), [&](const auto& aRecord) {
      return aRecord.address == aSender.address;
    });
  if (named) {
    return;
  }
  auto gossip = MakeGossip(aSender.address, 0, false);
  gossip.domains.push_back(view->summary);
  m_links.SendMessage(aSender.address, wire::MessageType::Heartbeat, gossip);
}

/// Adds the members named in a summary of this balancer's own domain as
/// addresses to contact.
auto Membership::AddCandidatesFrom(const wire::DomainSummary& aSummary) -> void
{
  for (const auto& record : aSummary.members) {
    if (record.failureDomain == aSummary.failureDomain) {
      m_table.AddCandidate(record.vm, record.failureDomain, record.address);
    }
  }
}

auto Membership::ApplySummaryMembers(const wire::DomainSummary& aSummary,
                                     bool aChanged) -> void
{
  if (!aChanged) {
    return;
  }
  const auto now = Clock::now();
  std::set<std::string> named;
  for (const auto& record : aSummary.members) {
    if (record.failureDomain == aSummary.failureDomain) {
      named.insert(record.address);
      m_table.Apply(record, now);
    }
  }
  std::vector<std::string> omitted;
  for (const auto& [address, member] : m_table.Members()) {
    if (member.failureDomain == aSummary.failureDomain &&
        IsReachable(member.state) && !named.contains(address)) {
      omitted.push_back(address);
    }
  }
  // Members that the summary omits are removed to bound the state kept about
  // other domains. They are not declared dead, because a balancer that has just
  // joined its domain writes summaries of the few members that it knows; only a
  // failed connection is evidence that a member is gone.
  for (const auto& address : omitted) {
    m_table.Remove(address);
  }
}

/// Turns members of lost domains back into candidates, which are contacted
/// again. This is not gossiped, because the members may only be unreachable
/// from this domain.
auto Membership::DemoteMembersOf(const std::vector<std::string>& aDomains)
  -> void
{
  if (aDomains.empty()) {
    return;
  }
  const auto now = Clock::now();
  for (const auto& [address, member] : m_table.Members()) {
    const bool lost = std::find(aDomains.begin(), aDomains.end(),
                                member.failureDomain) != aDomains.end();
    if (lost && IsReachable(member.state) &&
        member.failureDomain != Self().failureDomain &&
        now - member.lastMessageAt > kRecentMessagePeriod) {
      m_table.Find(address)->state = MemberState::Candidate;
    }
  }
}

auto Membership::ExpireDomains() -> void
{
  for (const auto& domain : m_domains.Expire(Clock::now())) {
    if (domain == Self().failureDomain) {
      continue;
    }
    m_metrics.Add(Counter::DomainsLost);
    LogWarning("domain-lost", { { "failure_domain", domain } });
  }
  DemoteMembersOf(LostDomains());
}

auto Membership::MakeSummary() -> wire::DomainSummary
{
  wire::DomainSummary summary;
  summary.failureDomain = Self().failureDomain;
  const auto* last = m_domains.Find(Self().failureDomain);
  summary.version = last == nullptr ? 1 : last->summary.version + 1;
  summary.aliveCount = static_cast<std::uint32_t>(m_rankedAddresses.size());
  summary.lowestKeyId = LowestInOwnDomain(&wire::Heartbeat::newestKeyId);
  summary.lowestSigningKeyId =
    LowestInOwnDomain(&wire::Heartbeat::signingKeyId);
  for (const auto& address : m_rankedAddresses) {
    if (summary.members.size() == DomainTable::kMaxSummaryMembers) {
      break;
    }
    auto record = address == Self().address
                    ? m_table.SelfRecord()
                    : MemberTable::RecordOf(*m_table.Find(address));
    // Suspicions are resolved within the domain, so others see the member as
    // alive until it is declared dead.
    if (address != Self().address) {
      record.state = static_cast<std::uint8_t>(MemberState::Alive);
    }
    summary.members.push_back(std::move(record));
  }
  summary.contentsHash = std::hash<std::string>{}(fmt::format(
    "{}/{}/{}/{}", wire::PackBody(summary.members), summary.aliveCount,
    summary.lowestKeyId, summary.lowestSigningKeyId));
  return summary;
}

/// Recomputes the order of the domain's members. The first member in this order
/// updates the summary of the domain.
auto Membership::UpdateOwnSummary() -> void
{
  m_rankedAddresses = AliveAddressesInDomain();
  m_rankedAddresses.push_back(Self().address);
  m_rankedAddresses =
    RendezvousOrder(Self().failureDomain, std::move(m_rankedAddresses));
  if (m_rankedAddresses.front() == Self().address) {
    m_domains.Apply(MakeSummary(), Clock::now());
  }
}

auto Membership::OtherDomains() const -> std::vector<std::string>
{
  std::set<std::string> domains;
  for (const auto& [address, member] : m_table.Members()) {
    domains.insert(member.failureDomain);
  }
  for (const auto& [domain, view] : m_domains.Views()) {
    domains.insert(domain);
  }
  domains.erase(Self().failureDomain);
  return { domains.begin(), domains.end() };
}

auto Membership::ContactAddressesOf(const std::string& aFailureDomain) const
  -> std::vector<std::string>
{
  std::vector<std::string> alive;
  std::vector<std::string> unreachable;
  for (const auto& [address, member] : m_table.Members()) {
    if (member.failureDomain == aFailureDomain &&
        member.state != MemberState::Left) {
      (IsReachable(member.state) ? alive : unreachable).push_back(address);
    }
  }
  alive = RendezvousOrder(aFailureDomain, std::move(alive));
  alive.resize(std::min(alive.size(), kRelayCount));
  return alive.empty() ? unreachable : alive;
}

auto Membership::SendSummaryToOtherDomain() -> void
{
  const auto relays = m_rankedAddresses.begin() +
                      static_cast<std::ptrdiff_t>(
                        std::min(kRelayCount, m_rankedAddresses.size()));
  if (std::find(m_rankedAddresses.begin(), relays, Self().address) == relays) {
    return;
  }
  const auto domains = OtherDomains();
  if (domains.empty()) {
    return;
  }
  const auto& domain = domains[m_nextDomain++ % domains.size()];
  for (const auto& address : RandomSample(ContactAddressesOf(domain), 1)) {
    auto gossip = MakeGossip(address, kMaxRelayedSummaries, true);
    const auto* own = m_domains.Find(Self().failureDomain);
    if (own != nullptr) {
      gossip.domains.push_back(own->summary);
    }
    m_links.SendMessage(address, wire::MessageType::Heartbeat, gossip);
  }
}

} // namespace bramleylock::peer
