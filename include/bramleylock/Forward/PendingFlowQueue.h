// Queue of first packets that wait for a free target. Independent of sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

/// A queued first packet.
struct PendingFlow
{
  Packet packet;
  std::string data;
  /// Urgency of the route; 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Time at which the client sent its first copy, estimated from the copy
  /// number.
  Clock::time_point sentAt{};
  Clock::time_point arrivedAt{};
  /// Arrival time of the last copy.
  Clock::time_point lastCopyAt{};
  /// When the packet is refused if no target has become free.
  Clock::time_point refuseAt{};
};

/// Queue of one service. More urgent packets are served first. Within one
/// urgency, the packet sent last is served first, because it can still be
/// answered in time. At a fixed interval, the least urgent class is served
/// instead, so that it does not starve.
class PendingFlowQueue
{
public:
  /// Adds a packet, or updates the entry if a copy of it is already queued. If
  /// the queue then exceeds aLimit, removes and returns the oldest packet of
  /// the least urgent class, to be refused.
  auto Push(PendingFlow aFlow, std::size_t aLimit)
    -> std::optional<PendingFlow>;

  /// Removes and returns the next packet to be served.
  auto Pop() -> std::optional<PendingFlow>;

  /// Puts back the packet that Pop returned last.
  auto Requeue(PendingFlow aFlow) -> void;

  /// Removes and returns the packets that meet aCondition.
  auto ExtractIf(const std::function<bool(const PendingFlow&)>& aCondition)
    -> std::vector<PendingFlow>;

  /// Returns the queued packet of aFlow, or null.
  auto Find(const FlowId& aFlow) -> PendingFlow*;

  auto Size() const -> std::size_t;

private:
  auto Insert(PendingFlow aFlow) -> void;

  /// Queued packets by urgency, ordered by sentAt.
  std::map<std::uint32_t, std::deque<PendingFlow>> m_byUrgency;
  std::uint32_t m_popCount = 0;
};

} // namespace bramleylock::forward
