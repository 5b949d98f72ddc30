// Congestion window and retransmission of one answer. Slow start grows the
// window by one part for each part acknowledged until the first loss; after it,
// the window grows by one part for each window acknowledged. A loss halves it,
// at most once in each retransmission interval.

#include "bramleylock/Flow/AnswerSender.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::flow {

static constexpr double kInitialWindowParts = 32;
static constexpr double kMinWindowParts = 4;
static constexpr Milliseconds kInitialRetransmitTimeout{ 80 };
static constexpr Milliseconds kMaxRetransmitTimeout{ 1000 };

/// A part is not retransmitted within one estimated round trip of its previous
/// transmission. These are the bounds of that interval, and its value before
/// the first round-trip sample.
static constexpr Milliseconds kMinRetransmitInterval{ 25 };
static constexpr Milliseconds kInitialRetransmitInterval{ 100 };
static constexpr Milliseconds kMaxRetransmitInterval{ 1000 };

/// Weights of a new sample in the smoothed round-trip time and in its
/// variation, and the number of variations added to the round-trip time before
/// a part may be retransmitted.
static constexpr double kRoundTripGain = 0.125;
static constexpr double kVariationGain = 0.25;
static constexpr double kVariationFactor = 2;

/// Sending is given up when the caller acknowledges nothing for this long.
static constexpr std::chrono::seconds kCallerTimeout{ 10 };

AnswerSender::AnswerSender(Environment& aEnvironment, wire::Packet aTemplate,
                           const Udp::endpoint& aCaller)
  : m_environment(aEnvironment)
  , m_template(std::move(aTemplate))
  , m_caller(aCaller)
  , m_window(kInitialWindowParts)
  , m_progress(aEnvironment.context)
  , m_lastAcknowledged(Clock::now())
  , m_retransmitTimeout(kInitialRetransmitTimeout)
{
}

auto AnswerSender::SetLength(std::uint64_t aBytes) -> void
{
  const auto parts =
    (aBytes + wire::kPartPayloadBytes - 1) / wire::kPartPayloadBytes;
  m_template.parts =
    static_cast<std::uint32_t>(std::max<std::uint64_t>(1, parts));
}

auto AnswerSender::SetFirstPart(std::uint32_t aFirst) -> void
{
  m_firstUnacknowledged = aFirst;
  m_nextToSend = aFirst;
}

auto AnswerSender::SetStatus(std::uint32_t aStatus, std::uint64_t aTag) -> void
{
  m_template.code = aStatus;
  m_template.answerTag = aTag;
}

auto AnswerSender::FirstUnacknowledged() const -> std::uint32_t
{
  return m_firstUnacknowledged;
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
  m_incompletePart.append(aData, aSize);
  std::size_t used = 0;
  // The last part stays unsent until Finish, because it must carry the total
  // number of parts.
  while (m_incompletePart.size() - used > wire::kPartPayloadBytes) {
    Enqueue(m_incompletePart.substr(used, wire::kPartPayloadBytes));
    used += wire::kPartPayloadBytes;
  }
  m_incompletePart.erase(0, used);
  while (m_bufferedParts.size() >= kMaxWindowParts) {
    const bool callerActive = co_await WaitForProgress();
    if (!callerActive) {
      co_return false;
    }
  }
  co_return !m_aborted;
}

auto AnswerSender::Finish() -> awaitable<bool>
{
  const auto last =
    m_firstUnacknowledged + static_cast<std::uint32_t>(m_bufferedParts.size());
  m_template.parts = last + 1;
  Enqueue(std::move(m_incompletePart));
  while (!m_bufferedParts.empty()) {
    const bool callerActive = co_await WaitForProgress();
    if (!callerActive) {
      co_return false;
    }
  }
  co_return !m_aborted;
}

auto AnswerSender::Enqueue(std::string aPayload) -> void
{
  m_bufferedParts.push_back({ std::move(aPayload) });
  SendWithinWindow();
}

auto AnswerSender::SendWithinWindow() -> void
{
  const auto end =
    m_firstUnacknowledged + static_cast<std::uint32_t>(m_bufferedParts.size());
  const auto limit = std::min(end, m_firstUnacknowledged + Window());
  while (m_nextToSend < limit) {
    SendPart(m_nextToSend);
    ++m_nextToSend;
  }
}

auto AnswerSender::SendPart(std::uint32_t aIndex) -> void
{
  auto& part = m_bufferedParts[aIndex - m_firstUnacknowledged];
  part.sentAt = Clock::now();
  part.sent = true;
  m_template.part = aIndex;
  m_template.payload = part.payload;
  SendPacket(m_environment, m_caller, m_template);
}

auto AnswerSender::Retransmit(std::uint32_t aIndex) -> void
{
  const auto end =
    m_firstUnacknowledged + static_cast<std::uint32_t>(m_bufferedParts.size());
  if (aIndex < m_firstUnacknowledged || aIndex >= end ||
      !m_bufferedParts[aIndex - m_firstUnacknowledged].sent) {
    return;
  }
  const auto now = Clock::now();
  const auto interval = RetransmitInterval();
  if (now - m_bufferedParts[aIndex - m_firstUnacknowledged].sentAt < interval) {
    // The part may still be in transit, because packets can be reordered.
    return;
  }
  if (now - m_lastWindowDecrease > interval) {
    m_lastWindowDecrease = now;
    m_window = std::max(kMinWindowParts, m_window / 2);
  }
  m_environment.metrics.Add(Counter::PartsResent);
  m_bufferedParts[aIndex - m_firstUnacknowledged].retransmitted = true;
  SendPart(aIndex);
}

auto AnswerSender::RetransmitInterval() const
  -> std::chrono::duration<double, std::milli>
{
  using FractionalMilliseconds = std::chrono::duration<double, std::milli>;
  if (m_roundTripMs == 0) {
    return kInitialRetransmitInterval;
  }
  const FractionalMilliseconds estimate(
    m_roundTripMs + kVariationFactor * m_roundTripVariationMs);
  return std::clamp<FractionalMilliseconds>(estimate, kMinRetransmitInterval,
                                            kMaxRetransmitInterval);
}

/// Ignores retransmitted parts (Karn's algorithm), because an acknowledgement
/// does not tell which of the transmissions it belongs to.
auto AnswerSender::UpdateRoundTrip(const Part& aPart) -> void
{
  if (aPart.retransmitted) {
    return;
  }
  const std::chrono::duration<double, std::milli> sample =
    Clock::now() - aPart.sentAt;
  const double difference = std::abs(sample.count() - m_roundTripMs);
  if (m_roundTripMs == 0) {
    m_roundTripMs = sample.count();
    m_roundTripVariationMs = sample.count() / 2;
    return;
  }
  m_roundTripVariationMs +=
    kVariationGain * (difference - m_roundTripVariationMs);
  m_roundTripMs += kRoundTripGain * (sample.count() - m_roundTripMs);
}

auto AnswerSender::RetransmitOverdue() -> void
{
  if (m_bufferedParts.empty()) {
    return;
  }
  const auto now = Clock::now();
  if (now - m_lastAcknowledged < m_retransmitTimeout ||
      now - m_bufferedParts.front().sentAt < m_retransmitTimeout) {
    return;
  }
  Retransmit(m_firstUnacknowledged);
  m_retransmitTimeout =
    std::min(m_retransmitTimeout * 2, kMaxRetransmitTimeout);
}

auto AnswerSender::WaitForProgress() -> awaitable<bool>
{
  const auto before = m_firstUnacknowledged;
  while (m_firstUnacknowledged == before && !m_aborted) {
    const auto now = Clock::now();
    if (now - m_lastAcknowledged > kCallerTimeout) {
      co_return false;
    }
    RetransmitOverdue();
    co_await m_progress.WaitUntil(now + m_retransmitTimeout);
  }
  co_return !m_aborted;
}

auto AnswerSender::Acknowledge(const wire::Packet& aPacket,
                               const Udp::endpoint& aCaller) -> void
{
  m_caller = aCaller;
  m_lastAcknowledged = Clock::now();
  m_retransmitTimeout = kInitialRetransmitTimeout;
  const auto end =
    m_firstUnacknowledged + static_cast<std::uint32_t>(m_bufferedParts.size());
  const auto received = std::min({ aPacket.part, end, m_nextToSend });
  while (m_firstUnacknowledged < received) {
    UpdateRoundTrip(m_bufferedParts.front());
    m_bufferedParts.pop_front();
    ++m_firstUnacknowledged;
    m_window += 1.0 / m_window;
    if (m_lastWindowDecrease == Clock::time_point{}) {
      // Slow start: the window doubles in each round trip until the first loss.
      m_window += 1;
    }
  }
  m_window = std::min<double>(m_window, kMaxWindowParts);
  for (const auto part : aPacket.missing) {
    Retransmit(part);
  }
  SendWithinWindow();
  m_progress.NotifyAll();
}

auto AnswerSender::Abort() -> void
{
  m_aborted = true;
  m_progress.NotifyAll();
}

} // namespace bramleylock::flow
