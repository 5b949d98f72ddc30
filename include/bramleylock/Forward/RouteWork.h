// What the flows of a route show of the requests inside them. Nothing here
// knows sockets or clocks.
#pragma once

#include <chrono>

namespace bramleylock::forward {

/// Learns from the packets of clients alone: how long a target works on a
/// request, how long a flow pauses between two, and whether it asks again.
class RouteWork
{
public:
  using Duration = std::chrono::nanoseconds;

  /// An answer began to arrive aTook after its request.
  auto TakeAnswer(Duration aTook) -> void;

  /// A flow asked again, aPaused after its last answer.
  auto TakePause(Duration aPaused) -> void;

  /// A flow ended.
  auto TakeEnd() -> void;

  /// Mean time from a request to its answer.
  auto MeanWork() const -> Duration;

  /// Mean number of requests that a flow is still to carry after one.
  auto LaterRequests() const -> double;

  /// Mean number of slots that an open flow without a request takes: the chance
  /// that it asks again, times the part of its time that it is at work.
  auto IdleLoad() const -> double;

private:
  Duration m_work = std::chrono::milliseconds(50);
  Duration m_pause = std::chrono::seconds(1);
  double m_asksAgain = 0.5;
};

} // namespace bramleylock::forward
