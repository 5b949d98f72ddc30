// Random probes within the failure domain, directly and through other members.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// Time limits for the answer to a direct probe, and after that for the answers
/// to the indirect probes through other members.
static constexpr Milliseconds kDirectProbeTimeout{ 300 };
static constexpr Milliseconds kIndirectProbeTimeout{ 500 };
static constexpr std::size_t kIndirectProbers = 3;

/// The most domain summaries in a probe or its answer.
static constexpr std::size_t kMaxSummariesInProbe = 2;

struct Membership::PendingProbe
{
  explicit PendingProbe(asio::io_context& aContext)
    : answerArrived(aContext)
  {
  }
  ConditionVariable answerArrived;
  bool answered = false;
};

auto Membership::HandleProbe(const wire::Hello& aSender,
                             const wire::Probe& aProbe) -> void
{
  HandleGossip(aSender, aProbe.gossip);
  m_links.SendMessage(
    aSender.address, wire::MessageType::ProbeAnswer,
    wire::ProbeAnswer{
      aProbe.sequence, Self().address,
      MakeGossip(aSender.address, kMaxSummariesInProbe, false) });
}

auto Membership::HandleProbeAnswer(const wire::Hello& aSender,
                                   const wire::ProbeAnswer& aAnswer) -> void
{
  HandleGossip(aSender, aAnswer.gossip);
  const auto pending = m_pendingProbes.find(aAnswer.sequence);
  if (pending != m_pendingProbes.end()) {
    pending->second->answered = true;
    pending->second->answerArrived.NotifyAll();
  }
}

/// Returns the next member to probe. Members are probed in random order, each
/// one once before any is probed again.
auto Membership::NextMemberToProbe() -> std::string
{
  if (m_probeOrder.empty()) {
    m_probeOrder = AliveAddressesInDomain();
    std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
  }
  while (!m_probeOrder.empty()) {
    auto address = m_probeOrder.back();
    m_probeOrder.pop_back();
    const auto* member = m_table.Find(address);
    if (member != nullptr && IsReachable(member->state)) {
      return address;
    }
  }
  return {};
}

auto Membership::SendProbe(const std::string& aAddress)
  -> std::shared_ptr<PendingProbe>
{
  auto pending = std::make_shared<PendingProbe>(m_context);
  const auto sequence = m_nextSequence++;
  m_pendingProbes[sequence] = pending;
  m_metrics.Add(Counter::MemberProbes);
  m_links.SendMessage(
    aAddress, wire::MessageType::Probe,
    wire::Probe{ sequence, MakeGossip(aAddress, kMaxSummariesInProbe, false) });
  return pending;
}

auto Membership::WaitForAnswer(std::shared_ptr<PendingProbe> aPending,
                               Milliseconds aTimeout) -> awaitable<bool>
{
  const auto deadline = Clock::now() + aTimeout;
  while (!aPending->answered && Clock::now() < deadline) {
    co_await aPending->answerArrived.WaitUntil(deadline);
  }
  co_return aPending->answered;
}

auto Membership::ProbeMember(std::string aAddress, bool aDirect)
  -> awaitable<void>
{
  if (!m_addressesBeingProbed.insert(aAddress).second) {
    co_return;
  }
  const auto sequence = m_nextSequence;
  const auto pending = SendProbe(aAddress);
  bool answered = false;
  if (aDirect) {
    answered = co_await WaitForAnswer(pending, kDirectProbeTimeout);
  }
  if (!answered) {
    auto otherMembers = AliveAddressesInDomain();
    std::erase(otherMembers, aAddress);
    for (const auto& other :
         RandomSample(std::move(otherMembers), kIndirectProbers)) {
      m_links.SendMessage(other, wire::MessageType::ProbeRequest,
                          wire::ProbeRequest{ sequence, aAddress });
    }
    answered = co_await WaitForAnswer(pending, kIndirectProbeTimeout);
  }
  m_pendingProbes.erase(sequence);
  m_addressesBeingProbed.erase(aAddress);
  if (!answered) {
    m_metrics.Add(Counter::MemberProbesFailed);
    m_table.Suspect(aAddress, Clock::now());
  }
}

auto Membership::ProbeOnBehalf(std::string aRequester, std::uint64_t aSequence,
                               std::string aAddress) -> awaitable<void>
{
  const auto sequence = m_nextSequence;
  const auto pending = SendProbe(aAddress);
  const bool answered = co_await WaitForAnswer(pending, kIndirectProbeTimeout);
  m_pendingProbes.erase(sequence);
  if (answered) {
    m_links.SendMessage(aRequester, wire::MessageType::ProbeAnswer,
                        wire::ProbeAnswer{ aSequence, aAddress,
                                           MakeGossip(aRequester, 0, false) });
  }
}

} // namespace bramleylock::peer
