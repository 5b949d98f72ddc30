// The flows whose packets this balancer has seen lately. Packets name their
// target themselves, so that a flow missing here is still forwarded; the table
// counts what is in flight and keeps the copies of a first packet together.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

struct TrackedFlow
{
  FlowId id;
  /// Never null.
  DirectoryEntry* target = nullptr;
  Clock::time_point openedAt{};
  Clock::time_point lastPacketAt{};
  /// The highest of the target's bytes that the client has acknowledged.
  std::uint32_t acknowledged = 0;
  /// Whether the client has shown which target answered.
  bool confirmed = false;
  /// Counted in the target's evidence.
  bool inFlight = false;
  /// The first packet, until a target has answered it.
  std::string opening;
};

/// Bounded; the flow that was quiet for longest goes first, of those that are
/// over before those in flight.
class FlowTable
{
public:
  explicit FlowTable(std::size_t aCapacity);

  auto Find(const FlowId& aFlow) -> TrackedFlow*;

  /// Starts tracking a flow that goes to aTarget, or turns it over to it.
  auto Open(const FlowId& aFlow, DirectoryEntry& aTarget,
            Clock::time_point aNow) -> TrackedFlow&;

  /// Notes a packet of aFlow.
  auto Touch(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// The flow is in flight at aTarget, whether or not it was at another.
  auto Count(TrackedFlow& aFlow, DirectoryEntry& aTarget) -> void;

  /// The flow's request is over; its target no longer counts it.
  auto Finish(TrackedFlow& aFlow) -> void;

  /// Finishes the flows whose last packet came before aLimit.
  auto FinishQuietSince(Clock::time_point aLimit) -> void;

  /// Drops the flows whose last packet came before aLimit.
  auto ForgetQuietSince(Clock::time_point aLimit) -> void;

  /// Drops the flows to targets that are about to be forgotten.
  auto DropTargetsGoneBefore(Clock::time_point aLimit) -> void;

  auto Size() const -> std::size_t;

private:
  /// The longest quiet flow first.
  using Flows = std::list<TrackedFlow>;
  using Place = Flows::iterator;

  auto PlaceOf(const TrackedFlow& aFlow) -> Place;
  auto ListOf(const TrackedFlow& aFlow) -> Flows&;
  auto Drop(Place aPlace) -> void;

  std::size_t m_capacity;
  Flows m_inFlight;
  Flows m_over;
  std::unordered_map<FlowId, Place, FlowIdHash> m_byId;
};

} // namespace bramleylock::forward
