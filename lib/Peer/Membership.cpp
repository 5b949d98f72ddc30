// Queries on the known members, and the loop that runs the protocol once per
// period. The rest of the class is in MemberProbes.cpp, MemberGossip.cpp,
// MemberSync.cpp and DomainExchange.cpp.

#include "bramleylock/Peer/Membership.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <sstream>

namespace bramleylock::peer {

static constexpr Milliseconds kProtocolPeriod{ 500 };

/// Counts of requests in flight are discarded if the member has sent no message
/// for this long.
static constexpr Milliseconds kInFlightValidity{ 3000 };

/// kMinConnectFailures failed connects to an address count as evidence that
/// the balancer there is gone, for this long after the last of them.
static constexpr Milliseconds kConnectFailureValidity{ 2000 };
static constexpr int kMinConnectFailures = 2;
static constexpr std::size_t kMaxTrackedFailures = 4096;

auto CandidatesFromSeeds(const std::string& aSeeds)
  -> std::vector<MemberCandidate>
{
  std::vector<MemberCandidate> candidates;
  std::istringstream words(aSeeds);
  std::string address;
  while (words >> address) {
    candidates.push_back({ address, {}, address });
  }
  return candidates;
}

Membership::Membership(asio::io_context& aContext, PeerLinks& aLinks,
                       wire::Hello aSelf, Metrics& aMetrics)
  : m_context(aContext)
  , m_links(aLinks)
  , m_metrics(aMetrics)
  , m_table(std::move(aSelf), aMetrics)
  , m_random(SecureRandomNumber())
  , m_fillHeartbeat([](wire::Heartbeat&) {})
{
}

auto Membership::Start(std::function<void(wire::Heartbeat&)> aFill) -> void
{
  m_fillHeartbeat = std::move(aFill);
  RegisterHandlers();
  Spawn(m_context, "membership", ProtocolLoop());
}

auto Membership::AllowIncarnationRenewal() -> void
{
  m_table.AllowIncarnationRenewal();
}

auto Membership::RegisterHandlers() -> void
{
  using wire::MessageType;
  m_links.OnUnreachable(
    [this](const std::string& aAddress) { HandleUnreachable(aAddress); });
  m_links.On(MessageType::Heartbeat,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               if (const auto gossip = wire::UnpackBody<wire::Gossip>(aBody)) {
                 HandleGossip(aSender, *gossip);
               }
             });
  m_links.On(MessageType::Probe,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               if (const auto probe = wire::UnpackBody<wire::Probe>(aBody)) {
                 HandleProbe(aSender, *probe);
               }
             });
  m_links.On(MessageType::ProbeAnswer, [this](const wire::Hello& aSender,
                                              const std::string& aBody) {
    if (const auto answer = wire::UnpackBody<wire::ProbeAnswer>(aBody)) {
      HandleProbeAnswer(aSender, *answer);
    }
  });
  m_links.On(MessageType::ProbeRequest,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               const auto request = wire::UnpackBody<wire::ProbeRequest>(aBody);
               if (request && m_table.Find(request->probedAddress) != nullptr) {
                 Spawn(m_context, "probe-for",
                       ProbeOnBehalf(aSender.address, request->sequence,
                                     request->probedAddress));
               }
             });
  m_links.On(MessageType::MemberSync, [this](const wire::Hello& aSender,
                                             const std::string& aBody) {
    if (const auto sync = wire::UnpackBody<wire::MemberSync>(aBody)) {
      HandleSync(aSender, *sync);
    }
  });
}

auto Membership::OnHeartbeat(std::function<void(const Member&)> aListener)
  -> void
{
  m_heartbeatListener = std::move(aListener);
}

auto Membership::IsAlive(const std::string& aAddress,
                         std::uint64_t aIncarnation) const -> bool
{
  const auto failure = m_connectFailures.find(aAddress);
  if (failure != m_connectFailures.end() &&
      failure->second.count >= kMinConnectFailures &&
      Clock::now() - failure->second.at < kConnectFailureValidity) {
    return false;
  }
  const auto& members = m_table.Members();
  const auto found = members.find(aAddress);
  if (found == members.end()) {
    // No balancer knows the whole fleet. The token's signature shows that the
    // address is valid, so it counts as alive until connecting to it fails.
    return true;
  }
  const auto& member = found->second;
  // A candidate with an incarnation was reachable before and no longer is.
  const bool gone =
    member.state > MemberState::Suspect ||
    (member.state == MemberState::Candidate && member.incarnation != 0);
  return !gone && member.incarnation <= aIncarnation;
}

auto Membership::AliveMembers() const -> std::vector<Member>
{
  std::vector<Member> alive;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state)) {
      alive.push_back(member);
    }
  }
  return alive;
}

auto Membership::AliveMembersInDomain() const -> std::vector<Member>
{
  std::vector<Member> alive;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      alive.push_back(member);
    }
  }
  return alive;
}

auto Membership::AllMembers() const -> std::vector<Member>
{
  std::vector<Member> all;
  for (const auto& [address, member] : m_table.Members()) {
    all.push_back(member);
  }
  return all;
}

auto Membership::Self() const -> const wire::Hello&
{
  return m_table.Self();
}

auto Membership::AliveAddressesInDomain() const -> std::vector<std::string>
{
  std::vector<std::string> addresses;
  for (const auto& [address, member] : m_table.Members()) {
    if (IsReachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

auto Membership::RandomSample(std::vector<std::string> aFrom,
                              std::size_t aCount) -> std::vector<std::string>
{
  std::vector<std::string> chosen;
  std::sample(aFrom.begin(), aFrom.end(), std::back_inserter(chosen), aCount,
              m_random);
  return chosen;
}

auto Membership::ProtocolLoop() -> awaitable<void>
{
  std::uniform_int_distribution<int> jitter(-50, 50);
  for (;;) {
    const auto now = Clock::now();
    m_table.Expire(now);
    DropStaleData();
    ExpireDomains();
    UpdateOwnSummary();
    const auto probed = NextMemberToProbe();
    if (!probed.empty()) {
      Spawn(m_context, "probe", ProbeMember(probed, true));
    }
    SendPeriodicHeartbeats();
    ContactUnreachableMember();
    SendSummaryToOtherDomain();
    co_await Sleep(kProtocolPeriod + Milliseconds(jitter(m_random)));
  }
}

auto Membership::HandleUnreachable(const std::string& aAddress) -> void
{
  if (m_connectFailures.size() >= kMaxTrackedFailures) {
    m_connectFailures.clear();
  }
  auto& failure = m_connectFailures[aAddress];
  const auto now = Clock::now();
  failure.count =
    now - failure.at < kConnectFailureValidity ? failure.count + 1 : 1;
  failure.at = now;
  const auto* member = m_table.Find(aAddress);
  if (member != nullptr && member->state == MemberState::Alive &&
      member->failureDomain == Self().failureDomain) {
    // The member may be unreachable only from this balancer, so it is probed
    // through other members before it is suspected.
    Spawn(m_context, "probe", ProbeMember(aAddress, false));
  }
}

auto Membership::DropStaleData() -> void
{
  const auto now = Clock::now();
  for (const auto& [address, member] : m_table.Members()) {
    if (now - member.lastMessageAt > kInFlightValidity) {
      m_table.Find(address)->latestHeartbeat.inFlight.clear();
    }
  }
  std::erase_if(m_connectFailures, [now](const auto& aEntry) {
    return now - aEntry.second.at > kConnectFailureValidity;
  });
}

} // namespace bramleylock::peer
