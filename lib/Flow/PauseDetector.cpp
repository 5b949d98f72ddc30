// Detection of pauses by late timer ticks.

#include "bramleylock/Flow/PauseDetector.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::flow {

static constexpr Milliseconds kTickInterval{ 50 };

/// A longer interval between two ticks means that the process was paused.
static constexpr Milliseconds kPauseThreshold{ 1000 };

/// How long after a pause the packets read from the socket may be ones that
/// were queued during it.
static constexpr Milliseconds kStaleAfterPause{ 300 };

PauseDetector::PauseDetector(asio::io_context& aContext, Metrics& aMetrics)
  : m_context(aContext)
  , m_metrics(aMetrics)
  , m_lastTick(BootTime())
{
}

auto PauseDetector::Start() -> void
{
  m_lastTick = BootTime();
  Spawn(m_context, "watch-pauses", TickLoop());
}

auto PauseDetector::Tick() -> bool
{
  const auto now = BootTime();
  const auto pause = now - m_lastTick;
  m_lastTick = now;
  if (pause <= kPauseThreshold) {
    return false;
  }
  m_metrics.Add(Counter::PauseNoticed);
  LogWarning(
    "pause-noticed",
    { { "pause_ms",
        std::to_string(
          std::chrono::duration_cast<Milliseconds>(pause).count()) } });
  m_staleUntil = now + kStaleAfterPause;
  return true;
}

auto PauseDetector::TickLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kTickInterval);
    Tick();
  }
}

auto PauseDetector::MayBeStale() const -> bool
{
  // Packets may be read after a pause but before the first tick.
  const auto now = BootTime();
  return now < m_staleUntil || now - m_lastTick > kPauseThreshold;
}

} // namespace bramleylock::flow
