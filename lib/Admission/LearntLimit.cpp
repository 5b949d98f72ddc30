// Adjusts the factor on the share by additive increase and multiplicative
// decrease.

#include "bramleylock/Admission/LearntLimit.h"

#include <algorithm>

namespace bramleylock::admission {

/// Minimum interval between two decreases: the answers of one burst report the
/// same overload.
static constexpr Milliseconds kDecreaseEvery{ 100 };

static constexpr double kShedDecrease = 0.9;
static constexpr double kSlowDecrease = 0.98;

/// Ratio of latency to minimum latency above which the target is assumed to be
/// queueing requests.
static constexpr double kSlow = 2.0;

/// Slots added by one answer that was not delayed.
static constexpr double kIncrease = 0.05;

/// Bounds of the factor. Requests are not spread perfectly evenly over the
/// targets, so that slightly more requests than the share have to be in flight
/// to keep every slot busy.
static constexpr double kHighest = 1.5;
static constexpr double kHighestForExcess = 1.35;
static constexpr double kLowest = 0.3;

auto LearntLimit::Decrease(double aBy, Clock::time_point aNow) -> void
{
  if (aNow - m_lastDecrease < kDecreaseEvery) {
    return;
  }
  m_lastDecrease = aNow;
  m_factor = std::max(kLowest, m_factor * aBy);
}

auto LearntLimit::OnShed(Clock::time_point aNow) -> void
{
  Decrease(kShedDecrease, aNow);
}

auto LearntLimit::OnAnswer(double aSlowness, bool aFull, Clock::time_point aNow)
  -> void
{
  if (aSlowness > kSlow) {
    // High latency can have a cause other than load, such as a cold start of
    // the target. It therefore only reduces a factor that is above 1.
    if (m_factor > 1) {
      Decrease(kSlowDecrease, aNow);
    }
    return;
  }
  if (aFull || m_factor < 1) {
    m_factor =
      std::min(kHighest, m_factor + kIncrease / std::max(1.0, m_share));
  }
}

auto LearntLimit::Slots() const -> double
{
  return std::max(1.0, m_share * m_factor);
}

auto LearntLimit::ExcessSlots() const -> double
{
  return std::max(1.0, m_share * std::min(m_factor, kHighestForExcess));
}

} // namespace bramleylock::admission
