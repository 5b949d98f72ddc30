// The concurrency of one service as its targets' answers teach it.
#pragma once

#include <chrono>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::admission {

/// Scales a share of slots: up while the targets answer without delay, down
/// when they refuse work or slow down.
class LearntLimit
{
public:
  /// Sets the share that the factor scales.
  auto SetShare(double aSlots) -> void { m_share = aSlots; }

  /// Takes a target's refusal.
  auto OnShed(Clock::time_point aNow) -> void;

  /// Takes an answer; aSlowness is its latency over the least latency seen of
  /// its kind of work, aFull whether the limit was in use.
  auto OnAnswer(double aSlowness, bool aFull, Clock::time_point aNow) -> void;

  /// Requests that may run, at least one.
  auto Slots() const -> double;

  /// Of these, those that work above its weight may use. What goes beyond the
  /// share waits at the targets, where it delays all other work.
  auto ExcessSlots() const -> double;

private:
  auto Decrease(double aBy, Clock::time_point aNow) -> void;

  double m_share = 1;
  double m_factor = 1;
  Clock::time_point m_lastDecrease{};
};

} // namespace bramleylock::admission
