// Estimate of a duration from samples. Independent of sockets and clocks.
#pragma once

#include <chrono>
#include <cstdint>

namespace bramleylock::estimate {

using Duration = std::chrono::nanoseconds;

/// Moving averages of a duration and of its absolute deviation, as TCP senders
/// keep them for round trips (RFC 6298).
class TimeEstimate
{
public:
  /// Records a sample; a negative one counts as zero.
  auto Record(Duration aSample) -> void;

  auto HasSamples() const -> bool;
  /// Returns whether the averages run over their full number of samples.
  auto IsSettled() const -> bool;
  auto Mean() const -> Duration;
  auto Deviation() const -> Duration;

  /// Returns the mean plus aDeviations mean deviations.
  auto UpperBound(double aDeviations) const -> Duration;

private:
  Duration m_mean{};
  Duration m_deviation{};
  std::uint32_t m_samples = 0;
};

} // namespace bramleylock::estimate
