// Notices that this process was stopped and goes on.
#pragma once

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::flow {

/// A stopped process does not feel its pause: its clock jumps, and what is
/// queued for it looks as if it came just now, though its deadline may have
/// passed. A suspended machine's steady clock stands still, so the time since
/// boot is compared.
class PauseWatch
{
public:
  PauseWatch(asio::io_context& aContext, Metrics& aMetrics);

  /// Ticks by itself from now on.
  auto Start() -> void;

  /// Compares the time with that of the last tick; true after a pause.
  auto Tick() -> bool;

  /// Whether what is read now may have waited through a pause.
  auto MayBeStale() const -> bool;

private:
  auto TickLoop() -> awaitable<void>;

  asio::io_context& m_context;
  Metrics& m_metrics;
  std::chrono::nanoseconds m_lastTick;
  std::chrono::nanoseconds m_staleUntil{};
};

} // namespace bramleylock::flow
