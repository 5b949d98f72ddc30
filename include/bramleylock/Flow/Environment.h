// Dependencies of the flow layer within one balancer.
#pragma once

#include <functional>

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/PlanLimits.h"
#include "bramleylock/Admission/RetryBudget.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Target/TargetTable.h"
#include "bramleylock/Wire/Token.h"

namespace bramleylock::flow {

/// References to the balancer's components, all of which outlive every flow.
struct Environment
{
  asio::io_context& context;
  Metrics& metrics;
  wire::KeyRing& keys;
  lists::ListReplica& lists;
  peer::PeerHub& hub;
  peer::Membership& members;
  target::TargetTable& targets;
  admission::AdmissionPolicy& admission;
  admission::RetryBudget& retries;
  admission::PlanLimits& planLimits;
  /// Sends one datagram to a caller.
  std::function<void(const Udp::endpoint&, const std::string&)> send;
};

/// Sends aPacket to aCaller and counts it as sent.
auto SendPacket(Environment& aEnvironment, const Udp::endpoint& aCaller,
                const wire::Packet& aPacket) -> void;

/// Signs a token that names this balancer as the owner of flow aFlow.
auto SignFlow(const Environment& aEnvironment, const std::string& aService,
              std::uint64_t aFlow) -> std::string;

/// Increments the counter of refusals or unknown outcomes for aReason, if it
/// has one.
auto CountReason(Metrics& aMetrics, wire::Reason aReason) -> void;

} // namespace bramleylock::flow
