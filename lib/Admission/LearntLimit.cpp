// Additive increase, multiplicative decrease around the share.

#include "bramleylock/Admission/LearntLimit.h"

#include <algorithm>

namespace bramleylock::admission {

/// Decreases further apart than this, because answers of one burst carry the
/// same news.
static constexpr Milliseconds kDecreaseEvery{ 100 };

static constexpr double kShedDecrease = 0.9;
static constexpr double kSlowDecrease = 0.98;

/// Latency over the least latency from which on a target is queueing.
static constexpr double kSlow = 2.0;

/// Slots that one undelayed answer adds.
static constexpr double kIncrease = 0.05;

/// Choices between targets are uneven, so that a little more than the share
/// has to be in flight for every slot to be busy.
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
    // Slowness may be the target's own, as after a cold start; it only takes
    // back what was borrowed above the share.
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
