// Dispatches every packet to the owner of its flow.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "bramleylock/Flow/HandOver.h"
#include "bramleylock/Flow/PauseDetector.h"

namespace bramleylock::flow {

/// Routes packets by their flow tokens, opens flows, and starts requests.
class Dispatcher
{
public:
  explicit Dispatcher(Environment& aEnvironment,
                      std::chrono::seconds aIdleTimeout);

  /// Starts handling packets forwarded by peers and expiring idle flows.
  auto Start() -> void;

  /// Handles one datagram from a caller.
  auto OnDatagram(const char* aData, std::size_t aSize,
                  const Udp::endpoint& aCaller) -> void;

  /// Stops opening flows on this balancer; requests without a token are
  /// forwarded to peers instead.
  auto Drain() -> void;

  auto Draining() const -> bool;

  /// Hands all flows over to a peer and announces the successor to all peers.
  /// Called while draining; returns by aDeadline at the latest.
  auto HandOverFlows(Clock::time_point aDeadline) -> awaitable<void>;

  auto Flows() const -> const FlowTable&;

private:
  struct IncomingPacket;

  auto OnForwarded(const wire::ForwardedDatagram& aForwarded) -> void;
  auto Handle(IncomingPacket& aIncoming) -> void;
  auto HandleRequest(IncomingPacket& aIncoming) -> void;
  auto CheckAuthorization(IncomingPacket& aIncoming) -> bool;
  auto RouteByToken(IncomingPacket& aIncoming) -> void;
  auto HandleOwned(IncomingPacket& aIncoming) -> void;
  auto HandleOwnerLost(IncomingPacket& aIncoming) -> void;
  auto OpenFlow(IncomingPacket& aIncoming) -> void;
  auto RejectEarly(const IncomingPacket& aIncoming,
                   const std::shared_ptr<Flow>& aOwnedFlow) -> bool;
  auto CheckPlanLimits(const std::string& aPlan, bool aConsume)
    -> admission::Refusal;
  auto NewFlow(const IncomingPacket& aIncoming) -> std::shared_ptr<Flow>;
  auto StartRequest(IncomingPacket& aIncoming,
                    const std::shared_ptr<Flow>& aFlow) -> void;
  auto AcceptRequest(IncomingPacket& aIncoming,
                     const std::shared_ptr<Flow>& aFlow) -> void;
  auto HandleDuplicate(IncomingPacket& aIncoming,
                       const std::shared_ptr<Flow>& aFlow) -> bool;
  auto HandleControlPacket(const IncomingPacket& aIncoming, Flow& aFlow)
    -> void;
  auto SendRecordedOutcome(const Outcome& aOutcome,
                           const Udp::endpoint& aCaller, std::size_t aFirst,
                           std::size_t aCount) -> void;
  auto ContinueRecordedAnswer(const IncomingPacket& aIncoming,
                              const Flow& aFlow) -> bool;
  auto OwnsFlow(const IncomingPacket& aIncoming, const wire::Owner& aOwner)
    -> bool;
  auto IsReachable(const wire::Owner& aOwner) const -> bool;
  auto ForwardToSuccessor(const IncomingPacket& aIncoming) -> void;
  auto BeginRequest(const std::shared_ptr<Flow>& aFlow,
                    const std::shared_ptr<Exchange>& aExchange) -> void;
  auto RunTracked(std::shared_ptr<Flow> aFlow,
                  std::shared_ptr<Exchange> aExchange) -> awaitable<void>;
  auto MakeForwarded(const IncomingPacket& aIncoming) const
    -> wire::ForwardedDatagram;
  auto Forward(const IncomingPacket& aIncoming, const std::string& aOwner)
    -> void;
  auto ForwardToPeer(const IncomingPacket& aIncoming) -> bool;
  auto ForwardToOwnerDomain(const IncomingPacket& aIncoming) -> bool;
  auto SendWithToken(const IncomingPacket& aIncoming, wire::PacketType aType,
                     const std::string& aToken) -> void;
  auto Refuse(const IncomingPacket& aIncoming, wire::Reason aReason,
              std::uint32_t aRetryAfterMs) -> void;
  auto Reply(const IncomingPacket& aIncoming, wire::PacketType aType,
             wire::Reason aReason, std::uint32_t aRetryAfterMs = 0) -> void;
  auto ExpireLoop() -> awaitable<void>;

  Environment& m_environment;
  std::chrono::seconds m_idleTimeout;
  FlowTable m_flows;
  PauseDetector m_pauseDetector;
  SuccessorTable m_successorTable;
  HandOver m_handOver;
  /// Set by Drain.
  bool m_draining = false;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::flow
