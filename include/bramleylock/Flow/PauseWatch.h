// Notices that this process was stopped and goes on.
#pragma once

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::flow {

/// A stopped process does not feel its pause: its clock jumps, and what is
/// queued for it looks as if it came just now, though its deadline may have
/// passed.
class PauseWatch
{
public:
  PauseWatch(asio::io_context& aContext, Metrics& aMetrics);

  auto Start() -> void;

  /// Whether what is read now may have waited through a pause.
  auto MayBeStale() const -> bool;

private:
  auto TickLoop() -> awaitable<void>;

  asio::io_context& m_context;
  Metrics& m_metrics;
  Clock::time_point m_lastTick = Clock::now();
  Clock::time_point m_staleUntil{};
};

} // namespace bramleylock::flow
