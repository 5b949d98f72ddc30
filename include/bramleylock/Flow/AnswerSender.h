// Sends one answer in parts, at the pace of the caller's acknowledgements.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// Splits an answer into parts, keeps those that the caller has not
/// acknowledged, and sends missing ones again. At most kWindowParts parts are
/// kept, so a slow caller stops the reading from the target.
class AnswerSender
{
public:
  /// The most parts between the first unacknowledged and the last sent.
  static constexpr std::uint32_t kWindowParts = 256;

  /// aTemplate holds the fields that all parts share.
  AnswerSender(Environment& aEnvironment, wire::Packet aTemplate,
               const Udp::endpoint& aCaller);

  /// Sets the length in bytes of the whole answer, if it is known early.
  auto SetLength(std::uint64_t aBytes) -> void;

  /// Starts at part aFirst; earlier parts are with the caller already.
  auto SkipTo(std::uint32_t aFirst) -> void;

  auto SetCode(std::uint32_t aStatus, std::uint64_t aTag) -> void;

  /// Adds bytes of the answer, waiting while the window is full; false when
  /// the caller has stopped answering or Abort was called.
  auto Push(const char* aData, std::size_t aSize) -> awaitable<bool>;

  /// Sends what is left and waits until the caller has all parts.
  auto Finish() -> awaitable<bool>;

  /// Takes an acknowledgement; the caller may have moved to another address.
  auto Acknowledge(const wire::Packet& aPacket, const Udp::endpoint& aCaller)
    -> void;

  /// Makes Push and Finish return false at once.
  auto Abort() -> void;

  /// The first part that the caller has not acknowledged.
  auto Base() const -> std::uint32_t;

  /// The tag that SetCode set.
  auto Tag() const -> std::uint64_t;

private:
  struct Part
  {
    std::string payload;
    Clock::time_point sentAt{};
    bool sent = false;
    bool resent = false;
  };

  auto Window() const -> std::uint32_t;
  auto Queue(std::string aPayload) -> void;
  auto SendWaiting() -> void;
  auto SendPart(std::uint32_t aIndex) -> void;
  auto Resend(std::uint32_t aIndex) -> void;
  auto Spacing() const -> std::chrono::duration<double, std::milli>;
  auto MeasureRoundTrip(const Part& aPart) -> void;
  auto ResendOverdue() -> void;
  auto WaitForProgress() -> awaitable<bool>;

  Environment& m_environment;
  wire::Packet m_template;
  Udp::endpoint m_caller;
  std::deque<Part> m_parts;
  std::uint32_t m_base = 0;
  std::uint32_t m_unsent = 0;
  double m_window;
  double m_roundTripMs = 0;
  double m_variationMs = 0;
  std::string m_partial;
  ConditionVariable m_progress;
  Clock::time_point m_lastHeard;
  Clock::time_point m_lastDecrease{};
  Milliseconds m_resendAfter;
  bool m_aborted = false;
};

} // namespace bramleylock::flow
