// Statistics of the requests on the flows of a route, inferred from client
// packets. Independent of sockets and clocks.
#pragma once

#include <chrono>

namespace bramleylock::forward {

/// Estimates from client packets alone how long a target takes to respond, how
/// long a client pauses between two requests, and how likely it is to send
/// another request.
class RouteRequestStats
{
public:
  using Duration = std::chrono::nanoseconds;

  /// Records a response that began aResponseTime after its request.
  auto RecordResponse(Duration aResponseTime) -> void;

  /// Records a further request on a flow, aThinkTime after the last response.
  auto RecordNextRequest(Duration aThinkTime) -> void;

  /// Records the end of a flow.
  auto RecordFlowEnd() -> void;

  /// Returns the mean time from a request to its response.
  auto MeanResponseTime() const -> Duration;

  /// Returns the expected number of further requests on a flow.
  auto ExpectedLaterRequests() const -> double;

  /// Returns the mean number of slots used by an open flow without an
  /// outstanding request: the probability of a further request times the
  /// fraction of time that the flow has a request in progress.
  auto IdleLoad() const -> double;

private:
  Duration m_meanResponseTime = std::chrono::milliseconds(50);
  Duration m_meanThinkTime = std::chrono::seconds(1);
  double m_nextRequestProbability = 0.5;
};

} // namespace bramleylock::forward
