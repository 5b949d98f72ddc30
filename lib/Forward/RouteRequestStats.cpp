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

auto RouteRequestStats::RecordResponse(Duration aResponseTime,
                                       Duration aRoundTrip) -> void
{
  m_serviceTime.Record(aResponseTime - aRoundTrip);
  m_responseTime.Record(aResponseTime);
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
    static_cast<double>((m_responseTime.Mean() + m_meanThinkTime).count());
  return cycle > 0 ? m_nextRequestProbability * serviceTime / cycle
                   : m_nextRequestProbability;
}

} // namespace bramleylock::forward
