// Reports the outcome of a request to its caller and records it.
#pragma once

#include <string>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Reports how one request ended, and records that in its flow for late
/// duplicates of at-most-once work. Does nothing once the request was handed
/// over with its flow.
class OutcomeReporter
{
public:
  /// The referenced objects must outlive this one.
  OutcomeReporter(Environment& aEnvironment, Flow& aFlow,
                  const Exchange& aExchange);

  /// Makes a packet to the caller about this request.
  auto MakePacket(wire::PacketType aType) const -> wire::Packet;

  /// Sends and records an answer that fits into one part.
  auto SendAnswer(std::uint32_t aStatus, std::uint64_t aTag,
                  const std::string& aBody) -> void;

  /// Records an answer of several parts, which AnswerSender sends.
  auto RecordAnswer(std::uint32_t aStatus, std::uint64_t aTag,
                    const std::string& aBody) -> void;

  /// Reports that, as far as this owner knows, no target ran the request.
  auto ReportNotRun(wire::Reason aReason, std::uint32_t aRetryAfterMs) -> void;

  /// Reports that the request may have run.
  auto ReportUnknown(wire::Reason aReason) -> void;

private:
  auto IsRepeatable() const -> bool;
  auto ResetOutcome() -> Outcome&;
  auto Send(const wire::Packet& aPacket) -> void;

  Environment& m_environment;
  Flow& m_flow;
  const Exchange& m_exchange;
};

} // namespace bramleylock::flow
