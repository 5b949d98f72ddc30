// What is known of the members, and the period in which they are spoken to.
// MemberProbes.cpp, MemberGossip.cpp, MemberSync.cpp and DomainExchange.cpp
// hold the rest of the class.

#include "bramleylock/Peer/Membership.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <sstream>

namespace bramleylock::peer {

static constexpr Milliseconds kPeriod{ 500 };

/// Counts in flight older than this say nothing any more.
static constexpr Milliseconds kLatestValid{ 3000 };

/// How long failed connects to an address count as evidence.
static constexpr Milliseconds kFailureValid{ 2000 };
static constexpr int kFailuresForEvidence = 2;
static constexpr std::size_t kFailuresKept = 4096;

auto HintsFromSeeds(const std::string& aSeeds) -> std::vector<MemberHint>
{
  std::vector<MemberHint> hints;
  std::istringstream words(aSeeds);
  std::string address;
  while (words >> address) {
    hints.push_back({ address, {}, address });
  }
  return hints;
}

Membership::Membership(asio::io_context& aContext, PeerLinks& aLinks,
                       wire::Hello aSelf, Metrics& aMetrics)
  : m_context(aContext)
  , m_links(aLinks)
  , m_metrics(aMetrics)
  , m_table(std::move(aSelf), aMetrics)
  , m_random(SecureRandomNumber())
  , m_fill([](wire::Heartbeat&) {})
{
}

auto Membership::Start(std::function<void(wire::Heartbeat&)> aFill) -> void
{
  m_fill = std::move(aFill);
  Listen();
  Spawn(m_context, "membership", PeriodLoop());
}

auto Membership::AllowRenewal() -> void
{
  m_table.AllowRenewal();
}

auto Membership::Listen() -> void
{
  using wire::MessageType;
  m_links.OnUnreachable(
    [this](const std::string& aAddress) { OnUnreachable(aAddress); });
  m_links.On(MessageType::Heartbeat,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               if (const auto gossip = wire::UnpackBody<wire::Gossip>(aBody)) {
                 TakeGossip(aSender, *gossip);
               }
             });
  m_links.On(MessageType::Probe,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               if (const auto probe = wire::UnpackBody<wire::Probe>(aBody)) {
                 AnswerProbe(aSender, *probe);
               }
             });
  m_links.On(MessageType::ProbeAnswer, [this](const wire::Hello& aSender,
                                              const std::string& aBody) {
    if (const auto answer = wire::UnpackBody<wire::ProbeAnswer>(aBody)) {
      TakeProbeAnswer(aSender, *answer);
    }
  });
  m_links.On(MessageType::ProbeRequest, [this](const wire::Hello& aSender,
                                               const std::string& aBody) {
    const auto request = wire::UnpackBody<wire::ProbeRequest>(aBody);
    if (request && m_table.Find(request->about) != nullptr) {
      Spawn(m_context, "probe-for",
            AnswerFor(aSender.address, request->sequence, request->about));
    }
  });
  m_links.On(MessageType::MemberSync, [this](const wire::Hello& aSender,
                                             const std::string& aBody) {
    if (const auto sync = wire::UnpackBody<wire::MemberSync>(aBody)) {
      TakeSync(aSender, *sync);
    }
  });
}

auto Membership::OnHeartbeat(std::function<void(const Member&)> aListener)
  -> void
{
  m_listener = std::move(aListener);
}

auto Membership::IsAlive(const std::string& aAddress,
                         std::uint64_t aIncarnation) const -> bool
{
  const auto failure = m_failures.find(aAddress);
  if (failure != m_failures.end() &&
      failure->second.count >= kFailuresForEvidence &&
      Clock::now() - failure->second.at < kFailureValid) {
    return false;
  }
  const auto& members = m_table.Members();
  const auto found = members.find(aAddress);
  if (found == members.end()) {
    // Nobody hears of the whole fleet; the token's signature vouches for the
    // address, and failed connects speak against it.
    return true;
  }
  const auto& member = found->second;
  // A candidate with an incarnation was heard once and cannot be now.
  const bool gone =
    member.state > MemberState::Suspect ||
    (member.state == MemberState::Candidate && member.incarnation != 0);
  return !gone && member.incarnation <= aIncarnation;
}

auto Membership::Alive() const -> std::vector<Member>
{
  std::vector<Member> alive;
  for (const auto& [address, member] : m_table.Members()) {
    if (Reachable(member.state)) {
      alive.push_back(member);
    }
  }
  return alive;
}

auto Membership::AliveInDomain() const -> std::vector<Member>
{
  std::vector<Member> alive;
  for (const auto& [address, member] : m_table.Members()) {
    if (Reachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      alive.push_back(member);
    }
  }
  return alive;
}

auto Membership::All() const -> std::vector<Member>
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

auto Membership::InDomain() const -> std::vector<std::string>
{
  std::vector<std::string> addresses;
  for (const auto& [address, member] : m_table.Members()) {
    if (Reachable(member.state) &&
        member.failureDomain == Self().failureDomain) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

auto Membership::Choose(std::vector<std::string> aFrom, std::size_t aCount)
  -> std::vector<std::string>
{
  std::vector<std::string> chosen;
  std::sample(aFrom.begin(), aFrom.end(), std::back_inserter(chosen), aCount,
              m_random);
  return chosen;
}

auto Membership::PeriodLoop() -> awaitable<void>
{
  std::uniform_int_distribution<int> jitter(-50, 50);
  for (;;) {
    const auto now = Clock::now();
    m_table.Expire(now);
    ForgetStale();
    ExpireDomains();
    RaiseSummary();
    const auto probed = NextProbed();
    if (!probed.empty()) {
      Spawn(m_context, "probe", ProbeOne(probed, true));
    }
    Spread();
    Knock();
    SpeakToOtherDomains();
    co_await Sleep(kPeriod + Milliseconds(jitter(m_random)));
  }
}

auto Membership::OnUnreachable(const std::string& aAddress) -> void
{
  if (m_failures.size() >= kFailuresKept) {
    m_failures.clear();
  }
  auto& failure = m_failures[aAddress];
  const auto now = Clock::now();
  failure.count = now - failure.at < kFailureValid ? failure.count + 1 : 1;
  failure.at = now;
  const auto* member = m_table.Find(aAddress);
  if (member != nullptr && member->state == MemberState::Alive &&
      member->failureDomain == Self().failureDomain) {
    // Only this balancer may be unable to reach it: others are asked first.
    Spawn(m_context, "probe", ProbeOne(aAddress, false));
  }
}

auto Membership::ForgetStale() -> void
{
  const auto now = Clock::now();
  for (const auto& [address, member] : m_table.Members()) {
    if (now - member.lastHeard > kLatestValid) {
      m_table.Find(address)->latest.inFlight.clear();
    }
  }
  std::erase_if(m_failures, [now](const auto& aEntry) {
    return now - aEntry.second.at > kFailureValid;
  });
}

} // namespace bramleylock::peer
