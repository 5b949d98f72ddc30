// Takes every packet to the owner of its flow.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "bramleylock/Flow/FlowTable.h"

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

  auto Flows() const -> const FlowTable&;

private:
  struct Arrival;

  auto OnForwarded(const wire::Forwarded& aForwarded) -> void;
  auto Handle(Arrival& aArrival) -> void;
  auto HandleRequest(Arrival& aArrival) -> void;
  auto CheckAuthorized(Arrival& aArrival) -> bool;
  auto HandleRouted(Arrival& aArrival) -> void;
  auto HandleOwned(Arrival& aArrival) -> void;
  auto HandleOwnerLost(Arrival& aArrival) -> void;
  auto OpenFlow(Arrival& aArrival) -> void;
  auto RefusedAtDoor(const Arrival& aArrival,
                     const std::shared_ptr<Flow>& aOwned) -> bool;
  auto NewFlow(const Arrival& aArrival) -> std::shared_ptr<Flow>;
  auto StartRequest(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow)
    -> void;
  auto RepeatKnown(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow)
    -> bool;
  auto Authorize(Arrival& aArrival) -> wire::Reason;
  auto Forward(const Arrival& aArrival, const std::string& aOwner) -> void;
  auto PassToPeer(const Arrival& aArrival) -> bool;
  auto SendWithToken(const Arrival& aArrival, wire::PacketType aType,
                     const Flow& aFlow) -> void;
  auto Refuse(const Arrival& aArrival, wire::Reason aReason,
              std::uint32_t aRetryAfterMs) -> void;
  auto Reply(const Arrival& aArrival, wire::PacketType aType,
             wire::Reason aReason, std::uint32_t aRetryAfterMs = 0) -> void;
  auto ExpireLoop() -> awaitable<void>;

  Environment& m_environment;
  std::chrono::seconds m_idleFlow;
  FlowTable m_flows;
  bool m_draining = false;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::flow
