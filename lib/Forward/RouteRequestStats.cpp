// Moving averages over the recent requests of a route.

#include "bramleylock/Forward/RouteRequestStats.h"

#include <algorithm>

namespace bramleylock::forward {

/// Divisor of the moving average of the probability that a flow has a further
/// request.
static constexpr int kAveragingSamples = 16;

/// Upper limit for the expected number of further requests. Longer flows are
/// treated like one with this many, because the set of targets changes before
/// such a flow ends.
static constexpr double kMaxLaterRequests = 8;

/// Number of mean deviations beyond the mean time to a response within which
/// nearly all responses arrive, also those of unusually long requests, and
/// within which most do.
static constexpr double kTimeoutDeviations = 16;
static constexpr double kUsualDeviations = 3;

/// Lower limits of both times. Balancers on slow machines lose the processor
/// for tens of milliseconds.
static constexpr std::chrono::milliseconds kMinResponseTimeout{ 200 };
static constexpr std::chrono::milliseconds kMinUsualResponseTime{ 50 };

/// Assumptions before the first sample where the configuration sets no limit.
static constexpr std::chrono::milliseconds kInitialResponseTimeout{ 1000 };
static constexpr std::chrono::milliseconds kInitialUsualResponseTime{ 150 };
static constexpr std::chrono::seconds kInitialThinkTime{ 1 };

auto RouteRequestStats::RecordResponse(Duration aResponseTime,
                                       Duration aRoundTrip) -> void
{
  m_serviceTime.Record(aResponseTime - aRoundTrip);
  m_responseTime.Record(aResponseTime);
}

auto RouteRequestStats::RecordNextRequest(Duration aThinkTime) -> void
{
  m_thinkTime.Record(aThinkTime);
  m_nextRequestProbability +=
    (1 - m_nextRequestProbability) / kAveragingSamples;
}

auto RouteRequestStats::RecordFlowEnd() -> void
{
  m_nextRequestProbability -= m_nextRequestProbability / kAveragingSamples;
}

auto RouteRequestStats::SetTimeLimit(Duration aLimit) -> void
{
  m_timeLimit = aLimit;
}

auto RouteRequestStats::ResponseTimeout() const -> Duration
{
  const Duration limit =
    m_timeLimit.count() > 0 ? m_timeLimit : Duration(kInitialResponseTimeout);
  if (!m_responseTime.HasSamples()) {
    return limit;
  }
  const auto learned = std::max<Duration>(
    m_responseTime.UpperBound(kTimeoutDeviations), kMinResponseTimeout);
  return m_timeLimit.count() > 0 ? std::min(learned, limit) : learned;
}

auto RouteRequestStats::UsualResponseTime() const -> Duration
{
  if (!m_responseTime.HasSamples()) {
    return kInitialUsualResponseTime;
  }
  return std::max<Duration>(m_responseTime.UpperBound(kUsualDeviations),
                            kMinUsualResponseTime);
}

auto RouteRequestStats::MeanThinkTime() const -> Duration
{
  return m_thinkTime.HasSamples() ? m_thinkTime.Mean()
                                  : Duration(kInitialThinkTime);
}

auto RouteRequestStats::ServiceTime() const -> const estimate::TimeEstimate&
{
  return m_serviceTime;
}

auto RouteRequestStats::SlotUse(Duration aTransitTime) const -> double
{
  const auto service = static_cast<double>(m_serviceTime.Mean().count());
  const auto transit = static_cast<double>(aTransitTime.count());
  return m_serviceTime.HasSamples() && service + transit > 0
           ? service / (service + transit)
           : 1;
}

auto RouteRequestStats::ExpectedLaterRequests() const -> double
{
  return std::min(kMaxLaterRequests,
                  m_nextRequestProbability /
                    std::max(1e-9, 1 - m_nextRequestProbability));
}

auto RouteRequestStats::IdleLoad() const -> double
{
  if (!m_responseTime.HasSamples()) {
    return 0;
  }
  const auto serviceTime = static_cast<double>(m_serviceTime.Mean().count());
  const auto cycle =
    static_cast<double>((m_responseTime.Mean() + MeanThinkTime()).count());
  return cycle > 0 ? m_nextRequestProbability * serviceTime / cycle
                   : m_nextRequestProbability;
}

} // namespace bramleylock::forward
