// Moving averages over the recent requests of a route.

#include "bramleylock/Forward/RouteRequestStats.h"

#include <algorithm>

namespace bramleylock::forward {

/// Divisor of the moving averages: each sample has a weight of 1/16. One of
/// eight balancers sees about 40 requests per second of a route, so a change
/// shows within half a second.
static constexpr int kAveragingSamples = 16;

/// Upper limit for the expected number of further requests. Longer flows are
/// treated like one with this many, because the set of targets changes before
/// such a flow ends.
static constexpr double kMaxLaterRequests = 8;

static auto UpdateAverage(RouteRequestStats::Duration aMean,
                          RouteRequestStats::Duration aSample)
  -> RouteRequestStats::Duration
{
  return aMean + (aSample - aMean) / kAveragingSamples;
}

auto RouteRequestStats::RecordResponse(Duration aResponseTime) -> void
{
  m_meanResponseTime = UpdateAverage(m_meanResponseTime, aResponseTime);
}

auto RouteRequestStats::RecordNextRequest(Duration aThinkTime) -> void
{
  m_meanThinkTime = UpdateAverage(m_meanThinkTime, aThinkTime);
  m_nextRequestProbability +=
    (1 - m_nextRequestProbability) / kAveragingSamples;
}

auto RouteRequestStats::RecordFlowEnd() -> void
{
  m_nextRequestProbability -= m_nextRequestProbability / kAveragingSamples;
}

auto RouteRequestStats::MeanResponseTime() const -> Duration
{
  return m_meanResponseTime;
}

auto RouteRequestStats::ExpectedLaterRequests() const -> double
{
  return std::min(kMaxLaterRequests,
                  m_nextRequestProbability /
                    std::max(1e-9, 1 - m_nextRequestProbability));
}

auto RouteRequestStats::IdleLoad() const -> double
{
  const auto responseTime = static_cast<double>(m_meanResponseTime.count());
  const auto cycle =
    responseTime + static_cast<double>(m_meanThinkTime.count());
  return cycle > 0 ? m_nextRequestProbability * responseTime / cycle
                   : m_nextRequestProbability;
}

} // namespace bramleylock::forward
