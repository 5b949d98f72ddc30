// Congestion window and retransmission of one answer. Slow start grows the
// window by one part for each part acknowledged until the first loss; after it,
// the window grows by one part for each window acknowledged. A loss halves it,
// at most once in each retransmission interval.

#include "bramleylock/Flow/AnswerSender.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::flow {

static constexpr double kFirstWindowParts = 32;
static constexpr double kLeastWindowParts = 4;
static constexpr Milliseconds kFirstResend{ 80 };
static constexpr Milliseconds kLastResend{ 1000 };

/// A part is not retransmitted within one estimated round trip of its previous
/// transmission. These are the bounds of that interval, and its value before
/// the first round-trip sample.
static constexpr Milliseconds kLeastSpacing{ 25 };
static constexpr Milliseconds kFirstSpacing{ 100 };
static constexpr Milliseconds kMostSpacing{ 1000 };

/// Weights of a new sample in the smoothed round-trip time and in its
/// variation, and the number of variations added to the round-trip time before
/// a part may be retransmitted.
static constexpr double kRoundTripShare = 0.125;
static constexpr double kVariationShare = 0.25;
static constexpr double kVariations = 2;

/// Sending is given up when the caller acknowledges nothing for this long.
static constexpr std::chrono::seconds kCallerSilence{ 10 };

AnswerSender::AnswerSender(Environment& aEnvironment, wire::Packet aTemplate,
                           const Udp::endpoint& aCaller)
  : m_environment(aEnvironment)
  , m_template(std::move(aTemplate))
  , m_caller(aCaller)
  , m_window(kFirstWindowParts)
  , m_progress(aEnvironment.context)
  , m_lastHeard(Clock::now())
  , m_resendAfter(kFirstResend)
{
}

auto AnswerSender::SetLength(std::uint64_t aBytes) -> void
{
  const auto parts = (aBytes + wire::kPartBytes - 1) / wire::kPartBytes;
  m_template.parts =
    static_cast<std::uint32_t>(std::max<std::uint64_t>(1, parts));
}

auto AnswerSender::SkipTo(std::uint32_t aFirst) -> void
{
  m_base = aFirst;
  m_unsent = aFirst;
}

auto AnswerSender::SetCode(std::uint32_t aStatus, std::uint64_t aTag) -> void
{
  m_template.code = aStatus;
  m_template.answerTag = aTag;
}

auto AnswerSender::Base() const -> std::uint32_t
{
  return m_base;
}

auto AnswerSender::Tag() const -> std::uint64_t
{
  return m_template.answerTag;
}

auto AnswerSender::Window() const -> std::uint32_t
{
  return static_cast<std::uint32_t>(m_window);
}

auto AnswerSender::Push(const char* aData, std::size_t aSize) -> awaitable<bool>
{
  m_partial.append(aData, aSize);
  std::size_t used = 0;
  // The last part stays unsent until Finish, because it must carry the total
  // number of parts.
  while (m_partial.size() - used > wire::kPartBytes) {
    Queue(m_partial.substr(used, wire::kPartBytes));
    used += wire::kPartBytes;
  }
  m_partial.erase(0, used);
  while (m_parts.size() >= kWindowParts) {
    const bool alive = co_await WaitForProgress();
    if (!alive) {
      co_return false;
    }
  }
  co_return !m_aborted;
}

auto AnswerSender::Finish() -> awaitable<bool>
{
  const auto last = m_base + static_cast<std::uint32_t>(m_parts.size());
  m_template.parts = last + 1;
  Queue(std::move(m_partial));
  while (!m_parts.empty()) {
    const bool alive = co_await WaitForProgress();
    if (!alive) {
      co_return false;
    }
  }
  co_return !m_aborted;
}

auto AnswerSender::Queue(std::string aPayload) -> void
{
  m_parts.push_back({ std::move(aPayload) });
  SendWaiting();
}

auto AnswerSender::SendWaiting() -> void
{
  const auto end = m_base + static_cast<std::uint32_t>(m_parts.size());
  const auto limit = std::min(end, m_base + Window());
  while (m_unsent < limit) {
    SendPart(m_unsent);
    ++m_unsent;
  }
}

auto AnswerSender::SendPart(std::uint32_t aIndex) -> void
{
  auto& part = m_parts[aIndex - m_base];
  part.sentAt = Clock::now();
  part.sent = true;
  m_template.part = aIndex;
  m_template.payload = part.payload;
  SendPacket(m_environment, m_caller, m_template);
}

auto AnswerSender::Resend(std::uint32_t aIndex) -> void
{
  const auto end = m_base + static_cast<std::uint32_t>(m_parts.size());
  if (aIndex < m_base || aIndex >= end || !m_parts[aIndex - m_base].sent) {
    return;
  }
  const auto now = Clock::now();
  const auto spacing = Spacing();
  if (now - m_parts[aIndex - m_base].sentAt < spacing) {
    // The part may still be in transit, because packets can be reordered.
    return;
  }
  if (now - m_lastDecrease > spacing) {
    m_lastDecrease = now;
    m_window = std::max(kLeastWindowParts, m_window / 2);
  }
  m_environment.metrics.Add(Counter::PartsResent);
  m_parts[aIndex - m_base].resent = true;
  SendPart(aIndex);
}

auto AnswerSender::Spacing() const -> std::chrono::duration<double, std::milli>
{
  using Span = std::chrono::duration<double, std::milli>;
  if (m_roundTripMs == 0) {
    return kFirstSpacing;
  }
  const Span estimate(m_roundTripMs + kVariations * m_variationMs);
  return std::clamp<Span>(estimate, kLeastSpacing, kMostSpacing);
}

/// Ignores retransmitted parts (Karn's algorithm), because an acknowledgement
/// does not tell which of the transmissions it belongs to.
auto AnswerSender::MeasureRoundTrip(const Part& aPart) -> void
{
  if (aPart.resent) {
    return;
  }
  const std::chrono::duration<double, std::milli> sample =
    Clock::now() - aPart.sentAt;
  const double difference = std::abs(sample.count() - m_roundTripMs);
  if (m_roundTripMs == 0) {
    m_roundTripMs = sample.count();
    m_variationMs = sample.count() / 2;
    return;
  }
  m_variationMs += kVariationShare * (difference - m_variationMs);
  m_roundTripMs += kRoundTripShare * (sample.count() - m_roundTripMs);
}

auto AnswerSender::ResendOverdue() -> void
{
  if (m_parts.empty()) {
    return;
  }
  const auto now = Clock::now();
  if (now - m_lastHeard < m_resendAfter ||
      now - m_parts.front().sentAt < m_resendAfter) {
    return;
  }
  Resend(m_base);
  m_resendAfter = std::min(m_resendAfter * 2, kLastResend);
}

auto AnswerSender::WaitForProgress() -> awaitable<bool>
{
  const auto before = m_base;
  while (m_base == before && !m_aborted) {
    const auto now = Clock::now();
    if (now - m_lastHeard > kCallerSilence) {
      co_return false;
    }
    ResendOverdue();
    co_await m_progress.WaitUntil(now + m_resendAfter);
  }
  co_return !m_aborted;
}

auto AnswerSender::Acknowledge(const wire::Packet& aPacket,
                               const Udp::endpoint& aCaller) -> void
{
  m_caller = aCaller;
  m_lastHeard = Clock::now();
  m_resendAfter = kFirstResend;
  const auto end = m_base + static_cast<std::uint32_t>(m_parts.size());
  const auto received = std::min({ aPacket.part, end, m_unsent });
  while (m_base < received) {
    MeasureRoundTrip(m_parts.front());
    m_parts.pop_front();
    ++m_base;
    m_window += 1.0 / m_window;
    if (m_lastDecrease == Clock::time_point{}) {
      // Slow start: the window doubles in each round trip until the first loss.
      m_window += 1;
    }
  }
  m_window = std::min<double>(m_window, kWindowParts);
  for (const auto part : aPacket.missing) {
    Resend(part);
  }
  SendWaiting();
  m_progress.Notify();
}

auto AnswerSender::Abort() -> void
{
  m_aborted = true;
  m_progress.Notify();
}

} // namespace bramleylock::flow
