// The end of a request, as its caller hears it and the owner remembers it.
#pragma once

#include <string>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Says how one request ended, and keeps that for late duplicates of
/// at-most-once work. A request whose flow was handed over is silent.
class FinalWord
{
public:
  /// All references outlive the object.
  FinalWord(Environment& aEnvironment, Flow& aFlow, const Exchange& aExchange);

  /// A packet to the caller about this request.
  auto MakePacket(wire::PacketType aType) const -> wire::Packet;

  /// Sends a whole answer of one part.
  auto Answer(std::uint32_t aStatus, std::uint64_t aTag,
              const std::string& aBody) -> void;

  /// Keeps an answer of several parts, which were sent already.
  auto KeepParts(std::uint32_t aStatus, std::uint64_t aTag,
                 const std::string& aBody) -> void;

  /// Says that no target ran the request, as far as this owner knows.
  auto NotRun(wire::Reason aReason, std::uint32_t aRetryAfterMs) -> void;

  /// Says that the request may have run.
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
