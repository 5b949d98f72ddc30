// The flows whose packets this balancer has seen lately. Packets name their
// target themselves, so that a flow missing here is still forwarded; the table
// counts what is in work and keeps the copies of a first packet together.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "bramleylock/Forward/RouteWork.h"
#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

enum class FlowPhase
{
  /// It is being opened, or its request waits for an answer.
  Busy,
  /// Open, with nothing to work on; it may ask again at any time.
  Idle,
  /// It ended, or had no packet for so long that nothing is expected of it.
  Quiet
};

inline constexpr std::array<NameRow<FlowPhase>, 3> kFlowPhaseNames{ {
  { FlowPhase::Busy, "busy" },
  { FlowPhase::Idle, "idle" },
  { FlowPhase::Quiet, "quiet" },
} };

/// What is known of the requests of one route, and how many flows refer to it.
struct TrackedRoute
{
  RouteWork work;
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
  /// Since when it has been in its phase; of a quiet flow, in the one before.
  Clock::time_point phaseSince{};
  FlowPhase phase = FlowPhase::Busy;
  /// What it adds to its target's expected load while it is idle.
  double idleLoad = 0;
  /// The highest of the target's bytes that the client has acknowledged.
  std::uint32_t acknowledged = 0;
  /// The highest sequence number of the client's data.
  std::uint32_t sequence = 0;
  /// Whether the client has shown which target answered.
  bool confirmed = false;
  /// Whether its last request has had no answer, also once that was given up.
  bool unanswered = true;
  bool ended = false;
  /// The first packet, until a target has answered it.
  std::string opening;
};

/// Bounded; the flow that was quiet for longest goes first, of those that are
/// quiet before those that are idle, and these before those that are busy.
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

  /// The flow counts at aTarget, whether or not it was at another.
  auto MoveTo(TrackedFlow& aFlow, DirectoryEntry& aTarget) -> void;

  /// The flow waits for an answer from now on.
  auto SetBusy(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// The flow has its answer.
  auto SetIdle(TrackedFlow& aFlow, Clock::time_point aNow) -> void;

  /// Nothing more is expected of the flow until its next request.
  auto SetQuiet(TrackedFlow& aFlow) -> void;

  /// The flow is over.
  auto End(TrackedFlow& aFlow) -> void;

  /// Silences the flows whose request began before aLimit without an answer;
  /// returns how many.
  auto QuietBusySince(Clock::time_point aLimit) -> std::size_t;

  /// Silences the idle flows whose last packet came before aLimit.
  auto QuietIdleSince(Clock::time_point aLimit) -> void;

  /// Silences the busy flows that had no packet since aLimit.
  auto QuietWithoutPacketSince(Clock::time_point aLimit) -> void;

  /// Drops the flows whose last packet came before aLimit, and what is known of
  /// routes that had none since.
  auto ForgetQuietSince(Clock::time_point aLimit) -> void;

  /// Drops the flows to targets that are about to be forgotten.
  auto DropTargetsGoneBefore(Clock::time_point aLimit) -> void;

  /// What the flows of the route at aService have shown, or what is assumed.
  auto WorkOf(const Address& aService) const -> RouteWork;

  auto Size() const -> std::size_t;
  auto CountIn(FlowPhase aPhase) const -> std::size_t;

  /// Flows that were dropped for want of room since the last call.
  auto TakeEvicted() -> std::uint64_t;

private:
  /// The longest unchanged flow first.
  using Flows = std::list<TrackedFlow>;
  using Place = Flows::iterator;

  auto PlaceOf(const TrackedFlow& aFlow) -> Place;
  auto In(FlowPhase aPhase) -> Flows&;
  auto Enter(TrackedFlow& aFlow, FlowPhase aPhase) -> void;
  auto AddCounts(const TrackedFlow& aFlow) -> void;
  auto DropCounts(const TrackedFlow& aFlow) -> void;
  auto Evict() -> void;
  auto Drop(Place aPlace) -> void;

  std::size_t m_capacity;
  std::uint64_t m_evicted = 0;
  std::array<Flows, kFlowPhaseNames.size()> m_byPhase;
  std::unordered_map<FlowId, Place, FlowIdHash> m_byId;
  std::map<Address, TrackedRoute> m_routes;
};

} // namespace bramleylock::forward
