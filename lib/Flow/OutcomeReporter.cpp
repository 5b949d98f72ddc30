// Reports the outcome of a request to its caller and records it.

#include "bramleylock/Flow/OutcomeReporter.h"

#include "bramleylock/Flow/RequestRunner.h"

#include <algorithm>

namespace bramleylock::flow {

using wire::PacketType;
using wire::Reason;

OutcomeReporter::OutcomeReporter(Environment& aEnvironment, Flow& aFlow,
                                 const Exchange& aExchange)
  : m_environment(aEnvironment)
  , m_flow(aFlow)
  , m_exchange(aExchange)
{
}

auto OutcomeReporter::IsRepeatable() const -> bool
{
  return m_exchange.work.execution == lists::Execution::Repeatable;
}

auto OutcomeReporter::MakePacket(PacketType aType) const -> wire::Packet
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = m_flow.id;
  packet.sequence = m_exchange.request.sequence;
  packet.token = m_exchange.token;
  return packet;
}

auto OutcomeReporter::SendAnswer(std::uint32_t aStatus, std::uint64_t aTag,
                                 const std::string& aBody) -> void
{
  auto packet = MakePacket(PacketType::Answer);
  packet.code = aStatus;
  packet.answerTag = aTag;
  packet.parts = 1;
  packet.payload = aBody;
  Send(packet);
}

auto OutcomeReporter::RecordAnswer(std::uint32_t aStatus, std::uint64_t aTag,
                                   const std::string& aBody) -> void
{
  if (IsRepeatable() || m_exchange.handedOver) {
    return;
  }
  auto packet = MakePacket(PacketType::Answer);
  packet.code = aStatus;
  packet.answerTag = aTag;
  packet.parts = static_cast<std::uint32_t>(
    (aBody.size() + wire::kPartPayloadBytes - 1) / wire::kPartPayloadBytes);
  auto& outcome = ResetOutcome();
  for (packet.part = 0; packet.part < packet.parts; ++packet.part) {
    packet.payload = aBody.substr(packet.part * wire::kPartPayloadBytes,
                                  wire::kPartPayloadBytes);
    outcome.datagrams.push_back(wire::Encode(packet));
  }
}

auto OutcomeReporter::ResetOutcome() -> Outcome&
{
  auto& outcome = m_flow.outcomes[m_exchange.request.sequence];
  outcome.datagrams.clear();
  outcome.expiresAt =
    std::max(m_exchange.deadline, Clock::now()) + kOutcomeRetention;
  return outcome;
}

auto OutcomeReporter::Send(const wire::Packet& aPacket) -> void
{
  if (m_exchange.handedOver) {
    return;
  }
  SendPacket(m_environment, m_exchange.caller, aPacket);
  if (!IsRepeatable()) {
    ResetOutcome().datagrams.push_back(wire::Encode(aPacket));
  }
}

auto OutcomeReporter::ReportNotRun(Reason aReason, std::uint32_t aRetryAfterMs)
  -> void
{
  CountReason(m_environment.metrics, aReason);
  // Another copy of a repeatable request may have run at another owner, so only
  // at-most-once work is reported as not run.
  auto packet =
    MakePacket(IsRepeatable() ? PacketType::Refused : PacketType::NotRun);
  packet.code = static_cast<std::uint32_t>(aReason);
  packet.retryAfterMs = aRetryAfterMs;
  Send(packet);
}

auto OutcomeReporter::ReportUnknown(Reason aReason) -> void
{
  CountReason(m_environment.metrics, aReason);
  auto packet = MakePacket(PacketType::Unknown);
  packet.code = static_cast<std::uint32_t>(aReason);
  Send(packet);
}

} // namespace bramleylock::flow
