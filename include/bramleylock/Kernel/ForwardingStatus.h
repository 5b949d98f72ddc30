// Status endpoints of the forwarding path for operators.
#pragma once

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Forward/StateReader.h"
#include "bramleylock/Http/Http.h"

namespace bramleylock::kernel {

/// What the status endpoints report on. members and reader are null until the
/// peer links are open.
struct ForwardingStatusSources
{
  std::string vm;
  std::string failureDomain;
  bool ready = false;
  bool draining = false;
  const forward::RouteTable& routes;
  forward::TargetDirectory& targets;
  const forward::RoutingState& state;
  const forward::Forwarder& forwarder;
  const Metrics& metrics;
  const peer::Membership* members = nullptr;
  const forward::StateReader* reader = nullptr;
};

/// Sets the gauges of the forwarding path in aMetrics.
auto UpdateForwardingGauges(const ForwardingStatusSources& aSources,
                            Metrics& aMetrics, Clock::time_point aNow) -> void;

/// Answers /status, /targets and /counters in JSON, and any other path with
/// status 404. The query parameters id and service filter /targets, which lists
/// at most 1,000 targets.
auto AnswerForwardingStatus(const http::Request& aRequest,
                            const ForwardingStatusSources& aSources,
                            Clock::time_point aNow) -> http::Reply;

} // namespace bramleylock::kernel
