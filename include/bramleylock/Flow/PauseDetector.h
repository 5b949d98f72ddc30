// Detects that this process was suspended and has resumed.
#pragma once

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::flow {

/// Detects pauses by timer ticks that come late. After a pause, packets queued
/// during it look as if they had just arrived, although their deadlines may
/// have passed. The boot-time clock is used because the steady clock does not
/// advance while the machine is suspended.
class PauseDetector
{
public:
  PauseDetector(asio::io_context& aContext, Metrics& aMetrics);

  /// Starts the periodic ticks.
  auto Start() -> void;

  /// Records the time of a tick; returns whether a pause preceded it.
  auto Tick() -> bool;

  /// Whether packets that are read now may have been queued during a pause.
  auto MayBeStale() const -> bool;

private:
  auto TickLoop() -> awaitable<void>;

  asio::io_context& m_context;
  Metrics& m_metrics;
  std::chrono::nanoseconds m_lastTick;
  std::chrono::nanoseconds m_staleUntil{};
};

} // namespace bramleylock::flow
