// Latency metrics of requests, by urgency.

#include "bramleylock/Flow/RequestTimes.h"

#include <array>

namespace bramleylock::flow {

using LatencyByUrgency = std::array<Latency, lists::kUrgencyNames.size()>;

static constexpr LatencyByUrgency kAnswered{ Latency::AnsweredUrgent,
                                             Latency::AnsweredNormal,
                                             Latency::AnsweredBulk };
static constexpr LatencyByUrgency kQueueWait{ Latency::QueueWaitUrgent,
                                              Latency::QueueWaitNormal,
                                              Latency::QueueWaitBulk };
static constexpr LatencyByUrgency kTarget{ Latency::TargetUrgent,
                                           Latency::TargetNormal,
                                           Latency::TargetBulk };

static auto LatencyFor(const LatencyByUrgency& aLatencies,
                       lists::Urgency aUrgency) -> Latency
{
  return aLatencies[static_cast<std::size_t>(aUrgency)];
}

RequestTimes::RequestTimes(Metrics& aMetrics, lists::Urgency aUrgency)
  : m_metrics(aMetrics)
  , m_urgency(aUrgency)
{
}

auto RequestTimes::EndQueueWait() -> void
{
  m_metrics.Observe(LatencyFor(kQueueWait, m_urgency),
                    Clock::now() - m_started);
}

auto RequestTimes::End(bool aAnswered, bool aMayHaveRun,
                       std::chrono::nanoseconds aTargetLatency) -> void
{
  if (aTargetLatency.count() > 0) {
    m_metrics.Observe(LatencyFor(kTarget, m_urgency), aTargetLatency);
  }
  // Requests without an answer are recorded in series of their own, so that
  // they do not distort the latency quantiles of answered requests.
  const auto failed = aMayHaveRun ? Latency::Unfinished : Latency::NotRun;
  m_metrics.Observe(aAnswered ? LatencyFor(kAnswered, m_urgency) : failed,
                    Clock::now() - m_started);
}

} // namespace bramleylock::flow
