// Takes every packet to the owner of its flow.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "bramleylock/Flow/HandOver.h"
#include "bramleylock/Flow/PauseWatch.h"

namespace bramleylock::flow {

/// Routes packets by their tokens, opens flows, and starts requests.
class Dispatcher
{
public:
  explicit Dispatcher(Environment& aEnvironment,
                      std::chrono::seconds aIdleFlow);

  /// Handles peers' forwarded packets and starts forgetting idle flows.
  auto Start() -> void;

  /// Handles one datagram from a caller.
  auto OnDatagram(const char* aData, std::size_t aSize,
                  const Udp::endpoint& aCaller) -> void;

  /// Stops opening flows here; first packets go to peers instead.
  auto Drain() -> void;

  auto Draining() const -> bool;

  /// Hands the flows of a draining balancer to a peer and tells all peers.
  auto HandOverFlows(Clock::time_point aLimit) -> awaitable<void>;

  auto Flows() const -> const FlowTable&;

private:
  struct Arrival;

  auto OnForwarded(const wire::ForwardedDatagram& aForwarded) -> void;
  auto Handle(Arrival& aArrival) -> void;
  auto HandleRequest(Arrival& aArrival) -> void;
  auto CheckAuthorized(Arrival& aArrival) -> bool;
  auto HandleRouted(Arrival& aArrival) -> void;
  auto HandleOwned(Arrival& aArrival) -> void;
  auto HandleOwnerLost(Arrival& aArrival) -> void;
  auto OpenFlow(Arrival& aArrival) -> void;
  auto RejectedEarly(const Arrival& aArrival,
                     const std::shared_ptr<Flow>& aOwned) -> bool;
  auto PlanRefusal(const std::string& aPlan, bool aTake) -> admission::Refusal;
  auto NewFlow(const Arrival& aArrival) -> std::shared_ptr<Flow>;
  auto StartRequest(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow)
    -> void;
  auto Accept(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow) -> void;
  auto RepeatKnown(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow)
    -> bool;
  auto HandleActive(const Arrival& aArrival, Flow& aFlow) -> void;
  auto SendOutcome(const Outcome& aOutcome, const Udp::endpoint& aCaller,
                   std::size_t aFirst, std::size_t aCount) -> void;
  auto ContinueOutcome(const Arrival& aArrival, const Flow& aFlow) -> bool;
  auto OwnedHere(const Arrival& aArrival, const wire::Owner& aOwner) -> bool;
  auto Reachable(const wire::Owner& aOwner) const -> bool;
  auto PassToSuccessor(const Arrival& aArrival) -> void;
  auto Begin(const std::shared_ptr<Flow>& aFlow,
             const std::shared_ptr<Exchange>& aExchange) -> void;
  auto RunCounted(std::shared_ptr<Flow> aFlow,
                  std::shared_ptr<Exchange> aExchange) -> awaitable<void>;
  auto MakeForwarded(const Arrival& aArrival) const -> wire::ForwardedDatagram;
  auto Forward(const Arrival& aArrival, const std::string& aOwner) -> void;
  auto PassToPeer(const Arrival& aArrival) -> bool;
  auto PassToDomain(const Arrival& aArrival) -> bool;
  auto SendWithToken(const Arrival& aArrival, wire::PacketType aType,
                     const std::string& aToken) -> void;
  auto Refuse(const Arrival& aArrival, wire::Reason aReason,
              std::uint32_t aRetryAfterMs) -> void;
  auto Reply(const Arrival& aArrival, wire::PacketType aType,
             wire::Reason aReason, std::uint32_t aRetryAfterMs = 0) -> void;
  auto ExpireLoop() -> awaitable<void>;

  Environment& m_environment;
  std::chrono::seconds m_idleFlow;
  FlowTable m_flows;
  PauseWatch m_pauses;
  Continuations m_continuations;
  HandOver m_handOver;
  /// When packets first came for owners that no heartbeat has named yet.
  bool m_draining = false;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::flow
