// Random probes within the failure domain, direct and through other members.

#include "bramleylock/Peer/Membership.h"

#include <algorithm>

namespace bramleylock::peer {

/// How long a probe may take, and then the probes through other members.
static constexpr Milliseconds kDirectLimit{ 300 };
static constexpr Milliseconds kIndirectLimit{ 500 };
static constexpr std::size_t kIndirectMembers = 3;

/// Summaries of domains in a probe or its answer.
static constexpr std::size_t kDomainsInProbe = 2;

struct Membership::Waiting
{
  explicit Waiting(asio::io_context& aContext)
    : wake(aContext)
  {
  }
  ConditionVariable wake;
  bool answered = false;
};

auto Membership::AnswerProbe(const wire::Hello& aSender,
                             const wire::Probe& aProbe) -> void
{
  TakeGossip(aSender, aProbe.gossip);
  m_links.SendMessage(
    aSender.address, wire::MessageType::ProbeAnswer,
    wire::ProbeAnswer{ aProbe.sequence, Self().address,
                       MakeGossip(aSender.address, kDomainsInProbe, false) });
}

auto Membership::TakeProbeAnswer(const wire::Hello& aSender,
                                 const wire::ProbeAnswer& aAnswer) -> void
{
  TakeGossip(aSender, aAnswer.gossip);
  const auto waiting = m_waiting.find(aAnswer.sequence);
  if (waiting != m_waiting.end()) {
    waiting->second->answered = true;
    waiting->second->wake.NotifyAll();
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

} // namespace bramleylock::peer
