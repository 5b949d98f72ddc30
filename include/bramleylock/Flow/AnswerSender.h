// Reliable, window-controlled transmission of one answer to its caller.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// Splits an answer into parts, buffers those that the caller has not
/// acknowledged, and retransmits lost ones. Push waits while kMaxWindowParts
/// parts are buffered, so that a slow caller applies back pressure to the
/// target.
class AnswerSender
{
public:
  /// Largest number of buffered parts, counted from the first unacknowledged
  /// one.
  static constexpr std::uint32_t kMaxWindowParts = 256;

  /// aTemplate holds the packet fields that all parts share.
  AnswerSender(Environment& aEnvironment, wire::Packet aTemplate,
               const Udp::endpoint& aCaller);

  /// Announces the length of the whole answer in bytes. Optional: Finish sets
  /// the number of parts in any case.
  auto SetLength(std::uint64_t aBytes) -> void;

  /// Makes aFirst the first part to send; the caller already holds the earlier
  /// ones.
  auto SetFirstPart(std::uint32_t aFirst) -> void;

  auto SetStatus(std::uint32_t aStatus, std::uint64_t aTag) -> void;

  /// Appends bytes of the answer and waits while the buffer is full. Returns
  /// false if the caller has stopped acknowledging or Abort was called.
  auto Push(const char* aData, std::size_t aSize) -> awaitable<bool>;

  /// Sends the remaining parts and waits until the caller has acknowledged all
  /// of them. Returns false in the same cases as Push.
  auto Finish() -> awaitable<bool>;

  /// Processes an acknowledgement. aCaller, its source address, receives all
  /// further packets, because the caller's address may have changed.
  auto Acknowledge(const wire::Packet& aPacket, const Udp::endpoint& aCaller)
    -> void;

  /// Makes pending and later calls of Push and Finish return false.
  auto Abort() -> void;

  /// The first part that the caller has not acknowledged.
  auto FirstUnacknowledged() const -> std::uint32_t;

  /// The answer tag passed to SetStatus.
  auto Tag() const -> std::uint64_t;

private:
  struct Part
  {
    std::string payload;
    Clock::time_point sentAt{};
    bool sent = false;
    bool retransmitted = false;
  };

  auto Window() const -> std::uint32_t;
  auto Enqueue(std::string aPayload) -> void;
  auto SendWithinWindow() -> void;
  auto SendPart(std::uint32_t aIndex) -> void;
  auto Retransmit(std::uint32_t aIndex) -> void;
  auto RetransmitInterval() const -> std::chrono::duration<double, std::milli>;
  auto UpdateRoundTrip(const Part& aPart) -> void;
  auto RetransmitOverdue() -> void;
  auto WaitForProgress() -> awaitable<bool>;

  Environment& m_environment;
  wire::Packet m_template;
  Udp::endpoint m_caller;
  std::deque<Part> m_bufferedParts;
  std::uint32_t m_firstUnacknowledged = 0;
  std::uint32_t m_nextToSend = 0;
  double m_window;
  double m_roundTripMs = 0;
  double m_roundTripVariationMs = 0;
  std::string m_incompletePart;
  ConditionVariable m_progress;
  Clock::time_point m_lastAcknowledged;
  Clock::time_point m_lastWindowDecrease{};
  Milliseconds m_retransmitTimeout;
  bool m_aborted = false;
};

} // namespace bramleylock::flow
