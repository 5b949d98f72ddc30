// The window of one answer. Its size follows losses: it grows by one part for
// each window acknowledged and is halved when parts are missing.

#include "bramleylock/Flow/AnswerSender.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::flow {

static constexpr double kFirstWindowParts = 32;
static constexpr double kLeastWindowParts = 4;
static constexpr Milliseconds kFirstResend{ 80 };
static constexpr Milliseconds kLastResend{ 1000 };

/// A part is not sent again sooner than a round trip after it was last sent;
/// these bound what is taken for one, and what is assumed at first.
static constexpr Milliseconds kLeastSpacing{ 25 };
static constexpr Milliseconds kFirstSpacing{ 100 };
static constexpr Milliseconds kMostSpacing{ 1000 };

/// Shares of a new sample in the round trip and in its variation, and how many
/// variations later than the round trip a part counts as lost.
static constexpr double kRoundTripShare = 0.125;
static constexpr double kVariationShare = 0.25;
static constexpr double kVariations = 2;

/// A caller that acknowledges nothing for this long is gone.
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
  const auto parts =
    (aBytes + wire::kPartPayloadBytes - 1) / wire::kPartPayloadBytes;
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
  // The last part is held back until Finish, which may have to mark it.
  while (m_partial.size() - used > wire::kPartPayloadBytes) {
    Queue(m_partial.substr(used, wire::kPartPayloadBytes));
    used += wire::kPartPayloadBytes;
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
    // It may be under way; parts overtake each other.
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

/// A part that was sent twice tells nothing: the acknowledgement may be for
/// either.
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
      // Until the first loss the window doubles in each round trip.
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
