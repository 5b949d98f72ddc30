// Reports the outcome of a request to its caller and records it.
#pragma once

#include <string>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Reports how one request ended, and records that in its flow for late
/// duplicates of at-most-once work. Does nothing once the request is frozen,
/// because its flow was handed over.
class FinalWord
{
public:
  /// The referenced objects must outlive this one.
  FinalWord(Environment& aEnvironment, Flow& aFlow, const Exchange& aExchange);

  /// Makes a packet to the caller about this request.
  auto MakePacket(wire::PacketType aType) const -> wire::Packet;

  /// Sends and records an answer that fits into one part.
  auto Answer(std::uint32_t aStatus, std::uint64_t aTag,
              const std::string& aBody) -> void;

  /// Records an answer of several parts, which AnswerSender sends.
  auto KeepParts(std::uint32_t aStatus, std::uint64_t aTag,
                 const std::string& aBody) -> void;

  /// Reports that, as far as this owner knows, no target ran the request.
  auto NotRun(wire::Reason aReason, std::uint32_t aRetryAfterMs) -> void;

  /// Reports that the request may have run.
  auto Unknown(wire::Reason aReason) -> void;

private:
  auto Repeatable() const -> bool;
  auto NewOutcome() -> Outcome&;
  auto Send(const wire::Packet& aPacket) -> void;

  Environment& m_environment;
  Flow& m_flow;
  const Exchange& m_exchange;
};

} // namespace bramleylock::flow
