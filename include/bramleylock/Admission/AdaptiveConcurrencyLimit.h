// Adaptive concurrency limit of one service, driven by the answers of its
// targets.
#pragma once

#include <chrono>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::admission {

/// Multiplies a share of slots by a factor that rises while the targets answer
/// without delay and falls when they shed load or slow down.
class AdaptiveConcurrencyLimit
{
public:
  /// Sets the share of slots that the factor is applied to.
  auto SetShare(double aSlots) -> void { m_share = aSlots; }

  /// Records that a target has refused a request for lack of capacity.
  auto OnShed(Clock::time_point aNow) -> void;

  /// Records an answer. aLatencyRatio is its latency divided by the minimum
  /// latency of its kind of work; aSaturated tells whether all slots were in
  /// use.
  auto OnAnswer(double aLatencyRatio, bool aSaturated, Clock::time_point aNow)
    -> void;

  /// The number of requests that may run at the same time, at least one.
  auto Slots() const -> double;

  /// The number of slots that requests above their fair share may use. Requests
  /// beyond the share of slots wait at the targets, where they delay all
  /// others.
  auto AboveShareSlots() const -> double;

private:
  auto Decrease(double aFactor, Clock::time_point aNow) -> void;

  double m_share = 1;
  double m_factor = 1;
  Clock::time_point m_lastDecrease{};
};

} // namespace bramleylock::admission
