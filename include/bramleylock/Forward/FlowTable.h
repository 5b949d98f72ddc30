// Table of the flows whose packets this balancer has seen recently. Each packet
// carries the tag of its target, so packets of flows that are missing from the
// table are still forwarded. The table counts the requests in flight and keeps
// all copies of a flow's first packet at the same target.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "bramleylock/Forward/RouteRequestStats.h"
#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

enum class FlowPhase
{
  /// The flow is being opened, or its request has no response yet.
  Busy,
  /// The flow is open without an outstanding request; the client may send a new
  /// request at any time.
  Idle,
  /// The flow has ended, or had no packet for so long that no further request
  /// is expected.
  Inactive
};

inline constexpr std::array<NameRow<FlowPhase>, 3> kFlowPhaseNames{ {
  { FlowPhase::Busy, "busy" },
  { FlowPhase::Idle, "idle" },
  { FlowPhase::Inactive, "quiet" },
} };

/// Request statistics of one route and the number of flows that refer to it.
struct TrackedRoute
{
  RouteRequestStats requestStats;
  std::size_t flows = 0;
  Clock::time_point usedAt{};
};

struct TrackedFlow
{
  FlowId id;
  /// Never null.
  DirectoryEntry* target = nullptr;
  /// Never null.
  TrackedRoute* route = nullptr;
  Clock::time_point openedAt{};
  Clock::time_point lastPacketAt{};
  /// Start of the current phase; for an inactive flow, start of the previous
  /// phase.
  Clock::time_point phaseSince{};
  FlowPhase phase = FlowPhase::Busy;
  /// Contribution to the target's expected load while the flow is idle.
  double idleLoad = 0;
  /// Contribution to the target's expected load while the flow is busy: the
  /// fraction of that time in which its request occupies a slot.
  double busyLoad = 1;
  /// Time for which packets are in transit to the target, from there to the
  /// client and back; zero if unknown.
  estimate::Duration roundTrip{};
  /// Number of requests that the client has sent on this flow.
  std::uint32_t requests = 0;
  /// Highest acknowledgement number received from the client.
  std::uint32_t acknowledged = 0;
  /// Highest sequence number of the client's data.
  std::uint32_t sequence = 0;
  /// Whether a packet from the client has shown which target accepted the flow.
  bool confirmed = false;
  /// Whether the last request has had no response. Remains set when the
  /// balancer stops waiting for the response.
  bool lastRequestUnanswered = true;
  bool ended = false;
  /// Whether the first packet was sent more than once, so that it is unknown
  /// which copy the client's reaction belongs to.
  bool repeated = false;
  /// Tag of the second target to which the first packet was sent as a hedge; 0
  /// if there is none.
  TargetTag hedgeTag = 0;
  /// When the first packet was sent to any target for the first time.
  Clock::time_point firstSentAt{};
  /// The first packet of the flow; cleared once a target has responded to it.
  std::string firstPacket;
};

/// Table of tracked flows with a fixed capacity. When it is full, inactive
/// flows are evicted first, then idle flows, then busy flows. Within a phase,
/// the flow whose last change is the oldest is evicted first.
class FlowTable
{
public:
  explicit FlowTable(std::size_t aCapacity);

  auto Find(const FlowId& aFlow) -> TrackedFlow*;

  /// Starts tracking a flow to aTarget with a client at aRoundTrip. Replaces an
  /// existing entry for aFlow.
  auto Open(const FlowId& aFlow, DirectoryEntry& aTarget,
            estimate::Duration aRoundTrip, Clock::time_point aNow)
    -> TrackedFlow&;

  /// Records that a packet of aFlow was received.
  auto RecordPacket(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// Assigns aFlow to aTarget and updates the counters of both targets.
  auto AssignTarget(TrackedFlow& aFlow, DirectoryEntry& aTarget) -> void;

  /// Marks the flow as waiting for a response since aNow.
  auto SetBusy(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// Marks the flow as waiting for the response to a new request since aNow.
  auto BeginRequest(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// Counts the busy flows whose response is overdue as occupying a slot all
  /// the time.
  auto RaiseLoadOfOverdue(Clock::time_point aNow) -> void;

  /// Marks the flow as idle since aNow, after a response.
  auto SetIdle(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// Marks the flow as inactive: nothing is expected until its next request.
  auto SetInactive(TrackedFlow& aFlow) -> void;

  /// Marks the flow as ended.
  auto MarkEnded(TrackedFlow& aFlow) -> void;

  /// Marks as inactive the busy flows whose request has had no response within
  /// the timeout of their route. Returns their number.
  auto DeactivateTimedOut(Clock::time_point aNow) -> std::size_t;

  /// Marks as inactive the idle flows whose last packet was received before
  /// aLimit.
  auto DeactivateIdleSince(Clock::time_point aLimit) -> void;

  /// Marks as inactive the busy flows without a packet since aMovedAt whose
  /// response would usually have arrived.
  auto DeactivateMovedBusy(Clock::time_point aMovedAt, Clock::time_point aNow)
    -> void;

  /// Removes the flows whose last packet was received before aLimit, and the
  /// statistics of routes unused since then.
  auto RemoveInactiveSince(Clock::time_point aLimit) -> void;

  /// Removes the flows to targets that departed before aLimit, before the
  /// directory removes those targets.
  auto RemoveFlowsOfTargetsDepartedBefore(Clock::time_point aLimit) -> void;

  /// Returns the request statistics of the route at aService, or default
  /// assumptions if there are none.
  auto RequestStatsOf(const Address& aService) const -> RouteRequestStats;

  /// Returns the longest mean think time of the tracked routes.
  auto LongestThinkTime() const -> estimate::Duration;

  auto Size() const -> std::size_t;
  auto CountIn(FlowPhase aPhase) const -> std::size_t;

  /// Returns the number of flows evicted since the last call and resets it.
  auto ConsumeEvictedCount() -> std::uint64_t;

private:
  /// Ordered by last change, the oldest first.
  using FlowList = std::list<TrackedFlow>;
  using Position = FlowList::iterator;

  auto PositionOf(const TrackedFlow& aFlow) -> Position;
  auto FlowsIn(FlowPhase aPhase) -> FlowList&;
  auto SetPhase(TrackedFlow& aFlow, FlowPhase aPhase) -> void;
  auto AddToTargetCounts(const TrackedFlow& aFlow) -> void;
  auto SubtractFromTargetCounts(const TrackedFlow& aFlow) -> void;
  auto EvictOne() -> void;
  auto Remove(Position aPosition) -> void;

  std::size_t m_capacity;
  std::uint64_t m_evictedCount = 0;
  std::array<FlowList, kFlowPhaseNames.size()> m_byPhase;
  std::unordered_map<FlowId, Position, FlowIdHash> m_byId;
  std::map<Address, TrackedRoute> m_routes;
};

} // namespace bramleylock::forward
