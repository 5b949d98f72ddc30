// Random probes within the failure domain, and what members tell each other.
// DomainExchange.cpp and MemberSync.cpp hold the rest of the class.

#include "bramleylock/Peer/Membership.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>

namespace bramleylock::peer {

static constexpr Milliseconds kPeriod{ 500 };

/// How long a probe may take, and then the probes through other members.
static constexpr Milliseconds kDirectLimit{ 300 };
static constexpr Milliseconds kIndirectLimit{ 500 };
static constexpr std::size_t kIndirectMembers = 3;

/// Heartbeats that a balancer sends a period beside its probe.
static constexpr std::size_t kSpreadTo = 2;

/// Summaries of domains in a heartbeat, and in a probe or its answer.
static constexpr std::size_t kDomainsInHeartbeat = 4;
static constexpr std::size_t kDomainsInProbe = 2;

/// A fleet of this size hears every heartbeat of everybody.
static constexpr std::size_t kSmallFleet = 8;

/// Targets whose requests in flight a heartbeat tells.
static constexpr std::size_t kTargetsInHeartbeat = 16;

/// Members that an announcement goes to.
static constexpr std::size_t kAnnounceTo = 16;

/// Counts in flight older than this say nothing any more.
static constexpr Milliseconds kLatestValid{ 3000 };

/// How long failed connects to an address count as evidence.
static constexpr Milliseconds kFailureValid{ 2000 };
static constexpr int kFailuresForEvidence = 2;
static constexpr std::size_t kFailuresKept = 4096;

struct Membership::Waiting
{
  explicit Waiting(asio::io_context& aContext)
    : wake(aContext)
  {
  }
  Signal wake;
  bool answered = false;
};

Membership::Membership(asio::io_context& aContext, PeerLinks& aLinks,
                       wire::Hello aSelf, Metrics& aMetrics)
  : m_context(aContext)
  , m_links(aLinks)
  , m_metrics(aMetrics)
  , m_table(std::move(aSelf), aMetrics)
  , m_random(SecretNumber())
  , m_fill([](wire::Heartbeat&) {})
{
}

auto Membership::Start(std::function<void(wire::Heartbeat&)> aFill) -> void
{
  m_fill = std::move(aFill);
  Listen();
  Spawn(m_context, "membership", PeriodLoop());
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
  m_links.On(MessageType::Probe, [this](const wire::Hello& aSender,
                                        const std::string& aBody) {
    const auto probe = wire::UnpackBody<wire::Probe>(aBody);
    if (!probe) {
      return;
    }
    TakeGossip(aSender, probe->gossip);
    m_links.SendMessage(
      aSender.address, MessageType::ProbeAnswer,
      wire::ProbeAnswer{ probe->sequence, Self().address,
                         MakeGossip(aSender.address, kDomainsInProbe, false) });
  });
  m_links.On(MessageType::ProbeAnswer,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               const auto answer = wire::UnpackBody<wire::ProbeAnswer>(aBody);
               if (!answer) {
                 return;
               }
               TakeGossip(aSender, answer->gossip);
               const auto waiting = m_waiting.find(answer->sequence);
               if (waiting != m_waiting.end()) {
                 waiting->second->answered = true;
                 waiting->second->wake.Notify();
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

/// Keeps the targets with the most requests, as many as a heartbeat may list.
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
    // Whoever is suspected or held dead has to hear it, to refute it.
    gossip.updates.push_back(MemberTable::RecordOf(*receiver));
  }
  gossip.domains = m_domains.Take(aDomains, Clock::now());
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
  TakeDomains(aGossip.domains);
  const auto* member = m_table.Find(aSender.address);
  if (!heard) {
    // A replaced or declared dead balancer is told what is held of it.
    if (member != nullptr && member->incarnation == aSender.incarnation) {
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
  bool refuted = false;
  for (const auto& record : aRecords) {
    const bool changed = m_table.Apply(record, now);
    refuted = refuted || (changed && record.address == Self().address);
  }
  if (refuted && now - m_lastRefuted > kPeriod) {
    m_lastRefuted = now;
    Announce();
  }
  return refuted;
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

/// The members in random order, each once before any comes again.
auto Membership::NextProbed() -> std::string
{
  if (m_probeOrder.empty()) {
    m_probeOrder = InDomain();
    std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
  }
  while (!m_probeOrder.empty()) {
    auto address = m_probeOrder.back();
    m_probeOrder.pop_back();
    const auto* member = m_table.Find(address);
    if (member != nullptr && Reachable(member->state)) {
      return address;
    }
  }
  return {};
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

/// Tries one member of the own domain that is not heard: a listed address, or
/// a dead one that may be back after a cut.
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

auto Membership::SendProbe(const std::string& aAddress)
  -> std::shared_ptr<Waiting>
{
  auto waiting = std::make_shared<Waiting>(m_context);
  const auto sequence = m_nextSequence++;
  m_waiting[sequence] = waiting;
  m_metrics.Add(Counter::MemberProbes);
  m_links.SendMessage(
    aAddress, wire::MessageType::Probe,
    wire::Probe{ sequence, MakeGossip(aAddress, kDomainsInProbe, false) });
  return waiting;
}

auto Membership::WaitFor(std::shared_ptr<Waiting> aWaiting, Milliseconds aLimit)
  -> awaitable<bool>
{
  const auto limit = Clock::now() + aLimit;
  while (!aWaiting->answered && Clock::now() < limit) {
    co_await aWaiting->wake.WaitUntil(limit);
  }
  co_return aWaiting->answered;
}

auto Membership::ProbeOne(std::string aAddress, bool aDirect) -> awaitable<void>
{
  if (!m_probing.insert(aAddress).second) {
    co_return;
  }
  const auto sequence = m_nextSequence;
  const auto waiting = SendProbe(aAddress);
  bool answered = false;
  if (aDirect) {
    answered = co_await WaitFor(waiting, kDirectLimit);
  }
  if (!answered) {
    auto others = InDomain();
    std::erase(others, aAddress);
    for (const auto& other : Choose(std::move(others), kIndirectMembers)) {
      m_links.SendMessage(other, wire::MessageType::ProbeRequest,
                          wire::ProbeRequest{ sequence, aAddress });
    }
    answered = co_await WaitFor(waiting, kIndirectLimit);
  }
  m_waiting.erase(sequence);
  m_probing.erase(aAddress);
  if (!answered) {
    m_metrics.Add(Counter::MemberProbesFailed);
    m_table.Suspect(aAddress, Clock::now());
  }
}

auto Membership::AnswerFor(std::string aAsker, std::uint64_t aSequence,
                           std::string aAddress) -> awaitable<void>
{
  const auto sequence = m_nextSequence;
  const auto waiting = SendProbe(aAddress);
  const bool answered = co_await WaitFor(waiting, kIndirectLimit);
  m_waiting.erase(sequence);
  if (answered) {
    m_links.SendMessage(
      aAsker, wire::MessageType::ProbeAnswer,
      wire::ProbeAnswer{ aSequence, aAddress, MakeGossip(aAsker, 0, false) });
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
