// What a balancer of the forwarding path believes, for operators.
#pragma once

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Forward/StateReader.h"
#include "bramleylock/Http/Http.h"

namespace bramleylock::kernel {

/// What the view reads; the last two are null until peers are met.
struct ForwardingSources
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

/// Answers GET /status, /targets and /counters in JSON; status 404 for anything
/// else. /targets takes the parameters id and service, and shows at most 1,000.
auto AnswerForwardingView(const http::Request& aRequest,
                          const ForwardingSources& aSources,
                          Clock::time_point aNow) -> http::Reply;

} // namespace bramleylock::kernel
