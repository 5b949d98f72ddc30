// Exchanges contested flows with the other balancers.
#pragma once

#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Peer/Broadcast.h"

namespace bramleylock::forward {

/// A contested flow as balancers send it to each other.
struct ContestedFlowRecord
{
  std::uint32_t clientIp = 0;
  std::uint16_t clientPort = 0;
  std::uint32_t serviceIp = 0;
  std::uint16_t servicePort = 0;
  std::uint32_t openingSequence = 0;
  /// Tag of the target that holds the flow; 0 while unknown.
  TargetTag target = 0;
  MSGPACK_DEFINE_ARRAY(clientIp, clientPort, serviceIp, servicePort,
                       openingSequence, target)
};

/// Message with the contested flows that became known to its sender, or whose
/// targets did.
struct ContestedFlowsUpdate
{
  std::vector<ContestedFlowRecord> flows;
  MSGPACK_DEFINE_ARRAY(flows)
};

/// Tells the peers of the contested flows that aForwarder finds, and passes
/// theirs to it.
auto ExchangeContestedFlows(Forwarder& aForwarder, peer::Broadcast& aBroadcast,
                            Metrics& aMetrics) -> void;

} // namespace bramleylock::forward
