// Latency metrics of requests.
#pragma once

#include "bramleylock/Lists/PlanLists.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::flow {

/// Records the latencies of one request, measured from construction.
class RequestTimes
{
public:
  RequestTimes(Metrics& aMetrics, lists::Urgency aUrgency);

  /// Records the queueing time; called when the request is admitted or refused.
  auto EndQueueWait() -> void;

  /// Records the total latency when the request has ended. aTargetLatency is
  /// the time from sending it to receiving the head of a target's answer, or
  /// zero if no head was received.
  auto End(bool aAnswered, bool aMayHaveRun,
           std::chrono::nanoseconds aTargetLatency) -> void;

private:
  Metrics& m_metrics;
  lists::Urgency m_urgency;
  Clock::time_point m_started = Clock::now();
};

} // namespace bramleylock::flow
