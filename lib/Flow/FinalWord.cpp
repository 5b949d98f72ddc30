// The last packets of a request.

#include "bramleylock/Flow/FinalWord.h"

#include "bramleylock/Flow/RequestRunner.h"

#include <algorithm>

namespace bramleylock::flow {

using wire::PacketType;
using wire::Reason;

FinalWord::FinalWord(Environment& aEnvironment, Flow& aFlow,
                     const Exchange& aExchange)
  : m_environment(aEnvironment)
  , m_flow(aFlow)
  , m_exchange(aExchange)
{
}

auto FinalWord::Repeatable() const -> bool
{
  return m_exchange.work.execution == lists::Execution::Repeatable;
}

auto FinalWord::MakePacket(PacketType aType) const -> wire::Packet
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = m_flow.id;
  packet.sequence = m_exchange.request.sequence;
  packet.token = m_exchange.token;
  return packet;
}

auto FinalWord::Answer(std::uint32_t aStatus, std::uint64_t aTag,
                       const std::string& aBody) -> void
{
  auto packet = MakePacket(PacketType::Answer);
  packet.code = aStatus;
  packet.answerTag = aTag;
  packet.parts = 1;
  packet.payload = aBody;
  Send(packet);
}

auto FinalWord::KeepParts(std::uint32_t aStatus, std::uint64_t aTag,
                          const std::string& aBody) -> void
{
  if (Repeatable() || m_exchange.frozen) {
    return;
  }
  auto packet = MakePacket(PacketType::Answer);
  packet.code = aStatus;
  packet.answerTag = aTag;
  packet.parts = static_cast<std::uint32_t>(
    (aBody.size() + wire::kPartPayloadBytes - 1) / wire::kPartPayloadBytes);
  auto& outcome = NewOutcome();
  for (packet.part = 0; packet.part < packet.parts; ++packet.part) {
    packet.payload = aBody.substr(packet.part * wire::kPartPayloadBytes,
                                  wire::kPartPayloadBytes);
    outcome.datagrams.push_back(wire::Encode(packet));
  }
}

auto FinalWord::NewOutcome() -> Outcome&
{
  auto& outcome = m_flow.outcomes[m_exchange.request.sequence];
  outcome.datagrams.clear();
  outcome.keepUntil =
    std::max(m_exchange.deadline, Clock::now()) + kOutcomeMargin;
  return outcome;
}

auto FinalWord::Send(const wire::Packet& aPacket) -> void
{
  if (m_exchange.frozen) {
    return;
  }
  SendPacket(m_environment, m_exchange.caller, aPacket);
  if (!Repeatable()) {
    NewOutcome().datagrams.push_back(wire::Encode(aPacket));
  }
}

auto FinalWord::NotRun(Reason aReason, std::uint32_t aRetryAfterMs) -> void
{
  CountReason(m_environment.metrics, aReason);
  // Another copy of a repeatable request may have run at another owner.
  auto packet =
    MakePacket(Repeatable() ? PacketType::Refused : PacketType::NotRun);
  packet.code = static_cast<std::uint32_t>(aReason);
  packet.retryAfterMs = aRetryAfterMs;
  Send(packet);
}

auto FinalWord::Unknown(Reason aReason) -> void
{
  CountReason(m_environment.metrics, aReason);
  auto packet = MakePacket(PacketType::Unknown);
  packet.code = static_cast<std::uint32_t>(aReason);
  Send(packet);
}

} // namespace bramleylock::flow
