// Statistics of the requests on the flows of a route, inferred from client
// packets. Independent of sockets and clocks.
#pragma once

#include "bramleylock/Estimate/TimeEstimate.h"

namespace bramleylock::forward {

/// Estimates from client packets alone how long a target takes to serve a
/// request, how long a client pauses between two requests, and how likely it is
/// to send another request.
class RouteRequestStats
{
public:
  using Duration = estimate::Duration;

  /// Records a response that the client acknowledged aResponseTime after its
  /// request. Of this time, the packets were in transit for aRoundTrip.
  auto RecordResponse(Duration aResponseTime, Duration aRoundTrip) -> void;

  /// Records a further request on a flow, aThinkTime after the last response.
  auto RecordNextRequest(Duration aThinkTime) -> void;

  /// Records the end of a flow.
  auto RecordFlowEnd() -> void;

  /// Sets the time within which the configuration expects a response; longer
  /// ones are not waited for. Zero if it is not configured.
  auto SetTimeLimit(Duration aLimit) -> void;

  /// Returns the time from a request after which its response has probably been
  /// seen by another balancer, or its target is lost.
  auto ResponseTimeout() const -> Duration;

  /// Returns the time from a request within which most responses arrive.
  auto UsualResponseTime() const -> Duration;

  /// Returns the mean pause of a client between two requests.
  auto MeanThinkTime() const -> Duration;

  /// Time from a request's arrival at a target to its response, including the
  /// time in the target's queue.
  auto ServiceTime() const -> const estimate::TimeEstimate&;

  /// Returns the fraction of the time in which a request occupies a slot, if
  /// its packets are in transit for aTransitTime besides. Returns 1 before the
  /// first response.
  auto SlotUse(Duration aTransitTime) const -> double;

  /// Returns the expected number of further requests on a flow.
  auto ExpectedLaterRequests() const -> double;

  /// Returns the mean number of slots used by an open flow without an
  /// outstanding request: the probability of a further request times the
  /// fraction of time that the flow has a request in progress.
  auto IdleLoad() const -> double;

private:
  estimate::TimeEstimate m_serviceTime;
  estimate::TimeEstimate m_responseTime;
  estimate::TimeEstimate m_thinkTime;
  Duration m_timeLimit{};
  double m_nextRequestProbability = 0.5;
};

} // namespace bramleylock::forward
