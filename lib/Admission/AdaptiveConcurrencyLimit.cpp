// Adjusts the factor on the share by additive increase and multiplicative
// decrease.

#include "bramleylock/Admission/AdaptiveConcurrencyLimit.h"

#include <algorithm>

namespace bramleylock::admission {

/// Minimum interval between two decreases: the answers of one burst report the
/// same overload.
static constexpr Milliseconds kMinDecreaseInterval{ 100 };

static constexpr double kShedDecreaseFactor = 0.9;
static constexpr double kSlowDecreaseFactor = 0.98;

/// Ratio of latency to minimum latency above which the target is assumed to be
/// queueing requests.
static constexpr double kSlowLatencyRatio = 2.0;

/// Slots added by one answer that was not delayed.
static constexpr double kSlotsPerAnswer = 0.05;

/// Bounds of the factor. Requests are not spread perfectly evenly over the
/// targets, so that slightly more requests than the share have to be in flight
/// to keep every slot busy.
static constexpr double kMaxFactor = 1.5;
static constexpr double kMaxAboveShareFactor = 1.35;
static constexpr double kMinFactor = 0.3;

auto AdaptiveConcurrencyLimit::Decrease(double aFactor, Clock::time_point aNow)
  -> void
{
  if (aNow - m_lastDecrease < kMinDecreaseInterval) {
    return;
  }
  m_lastDecrease = aNow;
  m_factor = std::max(kMinFactor, m_factor * aFactor);
}

auto AdaptiveConcurrencyLimit::OnShed(Clock::time_point aNow) -> void
{
  Decrease(kShedDecreaseFactor, aNow);
}

auto AdaptiveConcurrencyLimit::OnAnswer(double aLatencyRatio, bool aSaturated,
                                        Clock::time_point aNow) -> void
{
  if (aLatencyRatio > kSlowLatencyRatio) {
    // High latency can have a cause other than load, such as a cold start of
    // the target. It therefore only reduces a factor that is above 1.
    if (m_factor > 1) {
      Decrease(kSlowDecreaseFactor, aNow);
    }
    return;
  }
  if (aSaturated || m_factor < 1) {
    m_factor =
      std::min(kMaxFactor, m_factor + kSlotsPerAnswer / std::max(1.0, m_share));
  }
}

auto AdaptiveConcurrencyLimit::Slots() const -> double
{
  return std::max(1.0, m_share * m_factor);
}

auto AdaptiveConcurrencyLimit::AboveShareSlots() const -> double
{
  return std::max(1.0, m_share * std::min(m_factor, kMaxAboveShareFactor));
}

} // namespace bramleylock::admission
