// Moving averages whose weight per sample falls until enough samples are known.

#include "bramleylock/Estimate/TimeEstimate.h"

#include <algorithm>

namespace bramleylock::estimate {

/// Number of samples over which the averages run. One of eight balancers sees
/// about 40 requests per second of a route, so a change shows within half a
/// second.
static constexpr std::uint32_t kAveragingSamples = 16;

auto TimeEstimate::Record(Duration aSample) -> void
{
  const auto sample = std::max(aSample, Duration::zero());
  if (m_samples == 0) {
    m_mean = sample;
    m_deviation = sample / 2;
    m_samples = 1;
    return;
  }
  // The first samples are averaged with equal weights, so that the very first
  // one does not dominate.
  m_samples = std::min(m_samples + 1, kAveragingSamples);
  const auto error = sample - m_mean;
  m_mean += error / m_samples;
  m_deviation += (std::chrono::abs(error) - m_deviation) / m_samples;
}

auto TimeEstimate::HasSamples() const -> bool
{
  return m_samples > 0;
}

auto TimeEstimate::IsSettled() const -> bool
{
  return m_samples >= kAveragingSamples;
}

auto TimeEstimate::Mean() const -> Duration
{
  return m_mean;
}

auto TimeEstimate::Deviation() const -> Duration
{
  return m_deviation;
}

auto TimeEstimate::UpperBound(double aDeviations) const -> Duration
{
  return m_mean +
         std::chrono::duration_cast<Duration>(
           aDeviations * std::chrono::duration<double, std::nano>(m_deviation));
}

} // namespace bramleylock::estimate
