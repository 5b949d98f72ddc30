// Flows whose first packet went to more than one target, and the target at
// which each of them opened.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "bramleylock/Forward/Packet.h"

namespace bramleylock::forward {

/// A flow whose first packet went to more than one target, so that the tag in a
/// client's packet may be from a target that does not hold the flow.
struct ContestedFlow
{
  FlowId id;
  /// Sequence number of the first packet. It distinguishes successive flows of
  /// one client port.
  std::uint32_t openingSequence = 0;
  /// Tag of the target at which the client opened the flow; 0 while unknown.
  TargetTag target = 0;
  /// When the flow became known as contested here.
  Clock::time_point since{};
};

/// Contested flows, found by this balancer or reported by peers. The oldest
/// ones are discarded when the table is full.
class ContestedFlows
{
public:
  /// Adds a flow or its target. Returns false if that is known already. A
  /// target that is known does not change.
  auto Record(const ContestedFlow& aFlow) -> bool;

  /// Returns the flow, or null if it is not known to be contested.
  auto Find(const FlowId& aFlow) const -> const ContestedFlow*;

  /// Discards the flows that have been known since before aLimit.
  auto Expire(Clock::time_point aLimit) -> void;

  auto Size() const -> std::size_t;

private:
  using Order = std::list<ContestedFlow>;

  auto Remove(Order::iterator aPosition) -> void;

  /// In the order of their discovery.
  Order m_flows;
  std::unordered_map<FlowId, Order::iterator, FlowIdHash> m_byId;
};

/// Packets with the tag of a first packet that were dropped because the target
/// of their flow was uncertain. The time until the client repeats such a packet
/// shows whether it had sent it for the first time, and thus with the right
/// tag.
class UncertainPackets
{
public:
  /// Records a dropped packet. Returns the tag of the flow's packet that was
  /// dropped before, if that was the client's first sending of aPacket;
  /// otherwise 0.
  auto Record(const Packet& aPacket, Clock::time_point aNow) -> TargetTag;

  /// Discards the packets that were dropped before aLimit.
  auto Expire(Clock::time_point aLimit) -> void;

private:
  struct Dropped
  {
    std::uint32_t sequence = 0;
    TargetTag tag = 0;
    Clock::time_point at{};
  };

  std::unordered_map<FlowId, Dropped, FlowIdHash> m_dropped;
};

} // namespace bramleylock::forward
