// Keeps the flows of each phase ordered by when they entered the phase or last
// had a packet.

#include "bramleylock/Forward/FlowTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bramleylock::forward {

/// Number of mean deviations beyond the mean service time after which a
/// response is overdue.
static constexpr double kOverdueDeviations = 2;

FlowTable::FlowTable(std::size_t aCapacity)
  : m_capacity(aCapacity)
{
  assert(aCapacity > 0);
}

auto FlowTable::FlowsIn(FlowPhase aPhase) -> FlowList&
{
  return m_byPhase[static_cast<std::size_t>(aPhase)];
}

auto FlowTable::CountIn(FlowPhase aPhase) const -> std::size_t
{
  return m_byPhase[static_cast<std::size_t>(aPhase)].size();
}

auto FlowTable::Find(const FlowId& aFlow) -> TrackedFlow*
{
  const auto found = m_byId.find(aFlow);
  return found == m_byId.end() ? nullptr : &*found->second;
}

/// Returns the load of a busy flow. The time until the response to its first
/// request includes the round trip that opens the flow.
static auto BusyLoad(const TrackedFlow& aFlow) -> double
{
  return aFlow.route->requestStats.SlotUse(
    aFlow.requests > 1 ? aFlow.roundTrip : 2 * aFlow.roundTrip);
}

auto FlowTable::Open(const FlowId& aFlow, DirectoryEntry& aTarget,
                     estimate::Duration aRoundTrip, Clock::time_point aNow)
  -> TrackedFlow&
{
  if (const auto found = m_byId.find(aFlow); found != m_byId.end()) {
    Remove(found->second);
  }
  if (Size() >= m_capacity) {
    EvictOne();
  }
  auto& route = m_routes[aFlow.service];
  ++route.flows;
  route.usedAt = aNow;
  auto& busy = FlowsIn(FlowPhase::Busy);
  const auto position = busy.insert(busy.end(), TrackedFlow{});
  position->id = aFlow;
  position->target = &aTarget;
  position->route = &route;
  position->openedAt = aNow;
  position->firstSentAt = aNow;
  position->lastPacketAt = aNow;
  position->phaseSince = aNow;
  position->roundTrip = aRoundTrip;
  position->busyLoad = BusyLoad(*position);
  m_byId[aFlow] = position;
  AddToTargetCounts(*position);
  return *position;
}

auto FlowTable::EvictOne() -> void
{
  ++m_evictedCount;
  for (const auto phase :
       { FlowPhase::Inactive, FlowPhase::Idle, FlowPhase::Busy }) {
    if (!FlowsIn(phase).empty()) {
      Remove(FlowsIn(phase).begin());
      return;
    }
  }
}

auto FlowTable::PositionOf(const TrackedFlow& aFlow) -> Position
{
  const auto found = m_byId.find(aFlow.id);
  assert(found != m_byId.end());
  return found->second;
}

auto FlowTable::AddToTargetCounts(const TrackedFlow& aFlow) -> void
{
  auto& stats = aFlow.target->stats;
  stats.openFlows += aFlow.ended ? 0 : 1;
  if (aFlow.phase == FlowPhase::Busy) {
    ++stats.inFlight;
    stats.busyLoad += aFlow.busyLoad;
  }
  if (aFlow.phase == FlowPhase::Idle) {
    ++stats.idleFlows;
    stats.idleLoad += aFlow.idleLoad;
  }
}

auto FlowTable::SubtractFromTargetCounts(const TrackedFlow& aFlow) -> void
{
  auto& stats = aFlow.target->stats;
  stats.openFlows -= aFlow.ended ? 0 : 1;
  // Rounding errors accumulate in the sums, so they are reset to exactly zero
  // when there are no flows.
  if (aFlow.phase == FlowPhase::Busy) {
    --stats.inFlight;
    stats.busyLoad = stats.inFlight == 0 ? 0 : stats.busyLoad - aFlow.busyLoad;
  }
  if (aFlow.phase == FlowPhase::Idle) {
    --stats.idleFlows;
    stats.idleLoad = stats.idleFlows == 0 ? 0 : stats.idleLoad - aFlow.idleLoad;
  }
}

auto FlowTable::SetPhase(TrackedFlow& aFlow, FlowPhase aPhase) -> void
{
  auto& oldPhaseFlows = FlowsIn(aFlow.phase);
  auto& newPhaseFlows = FlowsIn(aPhase);
  newPhaseFlows.splice(newPhaseFlows.end(), oldPhaseFlows, PositionOf(aFlow));
  SubtractFromTargetCounts(aFlow);
  aFlow.phase = aPhase;
  aFlow.idleLoad =
    aPhase == FlowPhase::Idle ? aFlow.route->requestStats.IdleLoad() : 0;
  aFlow.busyLoad = aPhase == FlowPhase::Busy ? BusyLoad(aFlow) : 0;
  AddToTargetCounts(aFlow);
}

auto FlowTable::RecordPacket(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  aFlow.lastPacketAt = aNow;
  aFlow.route->usedAt = aNow;
  // Busy flows stay ordered by the start of their request. Otherwise a client
  // that sends its request in small pieces would count as using a slot
  // indefinitely.
  if (aFlow.phase != FlowPhase::Busy) {
    auto& flows = FlowsIn(aFlow.phase);
    flows.splice(flows.end(), flows, PositionOf(aFlow));
  }
}

auto FlowTable::AssignTarget(TrackedFlow& aFlow, DirectoryEntry& aTarget)
  -> void
{
  if (aFlow.target == &aTarget) {
    return;
  }
  SubtractFromTargetCounts(aFlow);
  aFlow.target = &aTarget;
  AddToTargetCounts(aFlow);
}

auto FlowTable::SetBusy(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  SetPhase(aFlow, FlowPhase::Busy);
  aFlow.phaseSince = aNow;
  aFlow.lastRequestUnanswered = true;
}

auto FlowTable::BeginRequest(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  ++aFlow.requests;
  SetBusy(aFlow, aNow);
}

/// Flows that are being opened are left out: a first packet without a reaction
/// has a timeout of its own.
auto FlowTable::RaiseLoadOfOverdue(Clock::time_point aNow) -> void
{
  for (auto& flow : FlowsIn(FlowPhase::Busy)) {
    if (!flow.confirmed || flow.busyLoad >= 1 ||
        aNow - flow.phaseSince <
          flow.roundTrip + flow.route->requestStats.ServiceTime().UpperBound(
                             kOverdueDeviations)) {
      continue;
    }
    SubtractFromTargetCounts(flow);
    flow.busyLoad = 1;
    AddToTargetCounts(flow);
  }
}

auto FlowTable::SetIdle(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  SetPhase(aFlow, FlowPhase::Idle);
  aFlow.phaseSince = aNow;
  aFlow.lastRequestUnanswered = false;
}

auto FlowTable::SetInactive(TrackedFlow& aFlow) -> void
{
  if (aFlow.phase != FlowPhase::Inactive) {
    SetPhase(aFlow, FlowPhase::Inactive);
  }
}

auto FlowTable::MarkEnded(TrackedFlow& aFlow) -> void
{
  SetInactive(aFlow);
  if (!aFlow.ended) {
    aFlow.ended = true;
    --aFlow.target->stats.openFlows;
  }
}

auto FlowTable::Remove(Position aPosition) -> void
{
  SubtractFromTargetCounts(*aPosition);
  --aPosition->route->flows;
  m_byId.erase(aPosition->id);
  FlowsIn(aPosition->phase).erase(aPosition);
}

auto FlowTable::DeactivateTimedOut(Clock::time_point aNow) -> std::size_t
{
  auto& busy = FlowsIn(FlowPhase::Busy);
  std::size_t count = 0;
  for (auto position = busy.begin(); position != busy.end();) {
    auto& flow = *position++;
    if (aNow - flow.phaseSince > flow.route->requestStats.ResponseTimeout()) {
      SetInactive(flow);
      ++count;
    }
  }
  return count;
}

auto FlowTable::DeactivateIdleSince(Clock::time_point aLimit) -> void
{
  auto& idle = FlowsIn(FlowPhase::Idle);
  while (!idle.empty() && idle.front().lastPacketAt < aLimit) {
    SetInactive(idle.front());
  }
}

auto FlowTable::DeactivateMovedBusy(Clock::time_point aMovedAt,
                                    Clock::time_point aNow) -> void
{
  auto& busy = FlowsIn(FlowPhase::Busy);
  for (auto position = busy.begin();
       position != busy.end() && position->phaseSince < aMovedAt;) {
    auto& flow = *position++;
    if (flow.lastPacketAt < aMovedAt &&
        aNow - flow.lastPacketAt >
          flow.route->requestStats.UsualResponseTime()) {
      SetInactive(flow);
    }
  }
}

auto FlowTable::RemoveInactiveSince(Clock::time_point aLimit) -> void
{
  DeactivateIdleSince(aLimit);
  // The list is ordered by when the flows became inactive or last had a packet.
  // A flow deactivated above may be behind a flow that ended with a later last
  // packet, and then stays until that one expires.
  auto& inactive = FlowsIn(FlowPhase::Inactive);
  while (!inactive.empty() && inactive.front().lastPacketAt < aLimit) {
    Remove(inactive.begin());
  }
  std::erase_if(m_routes, [aLimit](const auto& aRow) {
    return aRow.second.flows == 0 && aRow.second.usedAt < aLimit;
  });
}

auto FlowTable::RemoveFlowsOfTargetsDepartedBefore(Clock::time_point aLimit)
  -> void
{
  for (auto& flows : m_byPhase) {
    for (auto position = flows.begin(); position != flows.end();) {
      const auto next = std::next(position);
      const auto& target = *position->target;
      if (target.record.State() >= TargetState::Departed &&
          target.departedAt < aLimit) {
        Remove(position);
      }
      position = next;
    }
  }
}

auto FlowTable::RequestStatsOf(const Address& aService) const
  -> RouteRequestStats
{
  const auto found = m_routes.find(aService);
  return found == m_routes.end() ? RouteRequestStats{}
                                 : found->second.requestStats;
}

auto FlowTable::LongestThinkTime() const -> estimate::Duration
{
  estimate::Duration longest{};
  for (const auto& [address, route] : m_routes) {
    longest = std::max(longest, route.requestStats.MeanThinkTime());
  }
  return longest;
}

auto FlowTable::Size() const -> std::size_t
{
  return m_byId.size();
}

auto FlowTable::ConsumeEvictedCount() -> std::uint64_t
{
  return std::exchange(m_evictedCount, 0);
}

} // namespace bramleylock::forward
