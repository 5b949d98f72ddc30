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
  /// When the client sent its first copy, as far as the copies tell.
  Clock::time_point sentAt{};
  Clock::time_point arrivedAt{};
  /// When its last copy came.
  Clock::time_point copiedAt{};
};

/// One service's queue: urgent work first, and within it what its client sent
/// last, which can still be answered in time; every few turns the least urgent
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

  /// Puts back what Pop gave last.
  auto Return(WaitingOpening aOpening) -> void;

  /// Takes out what arrived before aLimit: its clients have given up.
  auto TakeOlderThan(Clock::time_point aLimit) -> std::vector<WaitingOpening>;

  /// The waiting packet of aFlow, or null.
  auto Find(const FlowId& aFlow) -> WaitingOpening*;

  auto Size() const -> std::size_t;

private:
  auto Insert(WaitingOpening aOpening) -> void;

  /// By urgency; what was sent first stands first.
  std::map<std::uint32_t, std::deque<WaitingOpening>> m_byUrgency;
  std::uint32_t m_turn = 0;
};

} // namespace bramleylock::forward
