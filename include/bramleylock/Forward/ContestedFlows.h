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

} // namespace bramleylock::forward
