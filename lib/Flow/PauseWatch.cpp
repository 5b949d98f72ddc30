// A tick that comes late shows a pause.

#include "bramleylock/Flow/PauseWatch.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::flow {

static constexpr Milliseconds kTick{ 50 };

/// Longer between two ticks means that the process was paused.
static constexpr Milliseconds kPause{ 1000 };

/// How long after a pause packets may have waited in the socket's buffer.
static constexpr Milliseconds kStale{ 300 };

PauseWatch::PauseWatch(asio::io_context& aContext, Metrics& aMetrics)
  : m_context(aContext)
  , m_metrics(aMetrics)
{
}

auto PauseWatch::Start() -> void
{
  m_lastTick = Clock::now();
  Spawn(m_context, "watch-pauses", TickLoop());
}

auto PauseWatch::TickLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kTick);
    const auto now = Clock::now();
    if (now - m_lastTick > kPause) {
      m_metrics.Add(Counter::PauseNoticed);
      LogWarning("pause-noticed", {});
      m_staleUntil = now + kStale;
    }
    m_lastTick = now;
  }
}

auto PauseWatch::MayBeStale() const -> bool
{
  // Packets may be read before the late tick.
  const auto now = Clock::now();
  return now < m_staleUntil || now - m_lastTick > kPause;
}

} // namespace bramleylock::flow
