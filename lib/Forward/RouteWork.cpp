// Moving averages over the recent requests of a route.

#include "bramleylock/Forward/RouteWork.h"

#include <algorithm>

namespace bramleylock::forward {

/// Divisor of the moving averages: each sample has a weight of 1/16. One of
/// eight balancers sees about 40 requests per second of a route, so a change
/// shows within half a second.
static constexpr int kSamples = 16;

/// Upper limit for the expected number of further requests. Longer flows are
/// treated like one with this many, because the set of targets changes before
/// such a flow ends.
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
