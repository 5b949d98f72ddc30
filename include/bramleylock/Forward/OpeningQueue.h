// First packets that wait until a target has room. Nothing here knows sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

/// A first packet as it came.
struct WaitingOpening
{
  Packet packet;
  std::string data;
  /// The route's urgency, 0 first.
  std::uint32_t urgency = 0;
  Clock::time_point arrivedAt{};
};

/// One service's queue: urgent work first and the newest first within it, since
/// the newest can still be answered in time; every few turns the least urgent
/// gets one, so that none starves.
class OpeningQueue
{
public:
  /// Adds a packet, or notes a further copy of one that waits. When more than
  /// aLimit wait, the one with the least hope is returned to be refused.
  auto Push(WaitingOpening aOpening, std::size_t aLimit)
    -> std::optional<WaitingOpening>;

  /// The next to be served.
  auto Pop() -> std::optional<WaitingOpening>;

  /// Puts back what Pop gave.
  auto Return(WaitingOpening aOpening) -> void;

  /// Takes out what arrived before aLimit: its clients have given up.
  auto TakeOlderThan(Clock::time_point aLimit) -> std::vector<WaitingOpening>;

  /// The waiting packet of aFlow, or null.
  auto Find(const FlowId& aFlow) -> WaitingOpening*;

  auto Size() const -> std::size_t;

private:
  /// By urgency; the oldest first.
  std::map<std::uint32_t, std::deque<WaitingOpening>> m_byUrgency;
  std::uint32_t m_turn = 0;
};

} // namespace bramleylock::forward
