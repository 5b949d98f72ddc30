// What /metrics tells about the time that requests take.
#pragma once

#include "bramleylock/Lists/PlanLists.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::flow {

/// Observes the latencies of one request, which starts when this is made.
class RequestTimes
{
public:
  RequestTimes(Metrics& aMetrics, lists::Urgency aUrgency);

  /// Admission has admitted or refused the request.
  auto EndWait() -> void;

  /// The request has ended. aTarget is the time from sending it to the head of
  /// a target's answer, or zero when none came.
  auto End(bool aAnswered, bool aMayHaveRun, std::chrono::nanoseconds aTarget)
    -> void;

private:
  Metrics& m_metrics;
  lists::Urgency m_urgency;
  Clock::time_point m_started = Clock::now();
};

} // namespace bramleylock::flow
