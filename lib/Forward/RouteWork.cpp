// Moving averages over the last requests of a route.

#include "bramleylock/Forward/RouteWork.h"

#include <algorithm>

namespace bramleylock::forward {

/// Weight of one more sample: a balancer of eight sees some 40 requests of a
/// route a second, so that a change shows within half a second.
static constexpr int kSamples = 16;

/// A longer flow is placed like one with this many requests to come: targets
/// come and go faster than it ends.
static constexpr double kMostLater = 8;

static auto Average(RouteWork::Duration aMean, RouteWork::Duration aSample)
  -> RouteWork::Duration
{
  return aMean + (aSample - aMean) / kSamples;
}

auto RouteWork::TakeAnswer(Duration aTook) -> void
{
  m_work = Average(m_work, aTook);
}

auto RouteWork::TakePause(Duration aPaused) -> void
{
  m_pause = Average(m_pause, aPaused);
  m_asksAgain += (1 - m_asksAgain) / kSamples;
}

auto RouteWork::TakeEnd() -> void
{
  m_asksAgain -= m_asksAgain / kSamples;
}

auto RouteWork::MeanWork() const -> Duration
{
  return m_work;
}

auto RouteWork::LaterRequests() const -> double
{
  return std::min(kMostLater, m_asksAgain / std::max(1e-9, 1 - m_asksAgain));
}

auto RouteWork::IdleLoad() const -> double
{
  const auto work = static_cast<double>(m_work.count());
  const auto cycle = work + static_cast<double>(m_pause.count());
  return cycle > 0 ? m_asksAgain * work / cycle : m_asksAgain;
}

} // namespace bramleylock::forward
