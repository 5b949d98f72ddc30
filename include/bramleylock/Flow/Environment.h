// What the flow layer works with on one balancer.
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

/// References to the balancer's parts; the balancer outlives every flow.
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

/// Sends aPacket to aCaller and counts it.
auto SendPacket(Environment& aEnvironment, const Udp::endpoint& aCaller,
                const wire::Packet& aPacket) -> void;

/// A token that names this balancer as the owner of flow aFlow.
auto SignFlow(const Environment& aEnvironment, const std::string& aService,
              std::uint64_t aFlow) -> std::string;

/// Counts a refusal or unknown outcome for aReason.
auto CountReason(Metrics& aMetrics, wire::Reason aReason) -> void;

} // namespace bramleylock::flow
