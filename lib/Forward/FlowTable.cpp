// Keeps the flows of each phase ordered by when they entered the phase or last
// had a packet.

#include "bramleylock/Forward/FlowTable.h"

#include <cassert>
#include <utility>

namespace bramleylock::forward {

FlowTable::FlowTable(std::size_t aCapacity)
  : m_capacity(aCapacity)
{
  assert(aCapacity > 0);
}

auto FlowTable::In(FlowPhase aPhase) -> Flows&
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

auto FlowTable::Open(const FlowId& aFlow, DirectoryEntry& aTarget,
                     Clock::time_point aNow) -> TrackedFlow&
{
  if (const auto found = m_byId.find(aFlow); found != m_byId.end()) {
    Drop(found->second);
  }
  if (Size() >= m_capacity) {
    Evict();
  }
  auto& route = m_routes[aFlow.service];
  ++route.flows;
  route.usedAt = aNow;
  auto& busy = In(FlowPhase::Busy);
  const auto place = busy.insert(busy.end(), TrackedFlow{});
  place->id = aFlow;
  place->target = &aTarget;
  place->route = &route;
  place->openedAt = aNow;
  place->lastPacketAt = aNow;
  place->phaseSince = aNow;
  m_byId[aFlow] = place;
  AddCounts(*place);
  return *place;
}

auto FlowTable::Evict() -> void
{
  ++m_evicted;
  for (const auto phase :
       { FlowPhase::Quiet, FlowPhase::Idle, FlowPhase::Busy }) {
    if (!In(phase).empty()) {
      Drop(In(phase).begin());
      return;
    }
  }
}

auto FlowTable::PlaceOf(const TrackedFlow& aFlow) -> Place
{
  const auto found = m_byId.find(aFlow.id);
  assert(found != m_byId.end());
  return found->second;
}

auto FlowTable::AddCounts(const TrackedFlow& aFlow) -> void
{
  auto& evidence = aFlow.target->evidence;
  evidence.open += aFlow.ended ? 0 : 1;
  evidence.inFlight += aFlow.phase == FlowPhase::Busy ? 1 : 0;
  if (aFlow.phase == FlowPhase::Idle) {
    ++evidence.idle;
    evidence.idleLoad += aFlow.idleLoad;
  }
}

auto FlowTable::DropCounts(const TrackedFlow& aFlow) -> void
{
  auto& evidence = aFlow.target->evidence;
  evidence.open -= aFlow.ended ? 0 : 1;
  evidence.inFlight -= aFlow.phase == FlowPhase::Busy ? 1 : 0;
  if (aFlow.phase == FlowPhase::Idle) {
    --evidence.idle;
    // Rounding errors accumulate in the sum, so it is reset to exactly zero
    // when there are no idle flows.
    evidence.idleLoad =
      evidence.idle == 0 ? 0 : evidence.idleLoad - aFlow.idleLoad;
  }
}

auto FlowTable::Enter(TrackedFlow& aFlow, FlowPhase aPhase) -> void
{
  auto& from = In(aFlow.phase);
  auto& to = In(aPhase);
  to.splice(to.end(), from, PlaceOf(aFlow));
  DropCounts(aFlow);
  aFlow.phase = aPhase;
  aFlow.idleLoad = aPhase == FlowPhase::Idle ? aFlow.route->work.IdleLoad() : 0;
  AddCounts(aFlow);
}

auto FlowTable::Touch(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  aFlow.lastPacketAt = aNow;
  aFlow.route->usedAt = aNow;
  // Busy flows stay ordered by the start of their request. Otherwise a client
  // that sends its request in small pieces would count as using a slot
  // indefinitely.
  if (aFlow.phase != FlowPhase::Busy) {
    auto& flows = In(aFlow.phase);
    flows.splice(flows.end(), flows, PlaceOf(aFlow));
  }
}

auto FlowTable::MoveTo(TrackedFlow& aFlow, DirectoryEntry& aTarget) -> void
{
  if (aFlow.target == &aTarget) {
    return;
  }
  DropCounts(aFlow);
  aFlow.target = &aTarget;
  AddCounts(aFlow);
}

auto FlowTable::SetBusy(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  Enter(aFlow, FlowPhase::Busy);
  aFlow.phaseSince = aNow;
  aFlow.unanswered = true;
}

auto FlowTable::SetIdle(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  Enter(aFlow, FlowPhase::Idle);
  aFlow.phaseSince = aNow;
  aFlow.unanswered = false;
}

auto FlowTable::SetQuiet(TrackedFlow& aFlow) -> void
{
  if (aFlow.phase != FlowPhase::Quiet) {
    Enter(aFlow, FlowPhase::Quiet);
  }
}

auto FlowTable::End(TrackedFlow& aFlow) -> void
{
  SetQuiet(aFlow);
  if (!aFlow.ended) {
    aFlow.ended = true;
    --aFlow.target->evidence.open;
  }
}

auto FlowTable::Drop(Place aPlace) -> void
{
  DropCounts(*aPlace);
  --aPlace->route->flows;
  m_byId.erase(aPlace->id);
  In(aPlace->phase).erase(aPlace);
}

auto FlowTable::QuietBusySince(Clock::time_point aLimit) -> std::size_t
{
  auto& busy = In(FlowPhase::Busy);
  std::size_t count = 0;
  for (; !busy.empty() && busy.front().phaseSince < aLimit; ++count) {
    SetQuiet(busy.front());
  }
  return count;
}

auto FlowTable::QuietIdleSince(Clock::time_point aLimit) -> void
{
  auto& idle = In(FlowPhase::Idle);
  while (!idle.empty() && idle.front().lastPacketAt < aLimit) {
    SetQuiet(idle.front());
  }
}

auto FlowTable::QuietWithoutPacketSince(Clock::time_point aLimit) -> void
{
  auto& busy = In(FlowPhase::Busy);
  for (auto place = busy.begin();
       place != busy.end() && place->phaseSince < aLimit;) {
    auto& flow = *place++;
    if (flow.lastPacketAt < aLimit) {
      SetQuiet(flow);
    }
  }
}

auto FlowTable::ForgetQuietSince(Clock::time_point aLimit) -> void
{
  QuietBusySince(aLimit);
  QuietIdleSince(aLimit);
  // A flow that ended by itself is queued behind flows that became quiet
  // earlier.
  auto& quiet = In(FlowPhase::Quiet);
  while (!quiet.empty() && quiet.front().lastPacketAt < aLimit) {
    Drop(quiet.begin());
  }
  std::erase_if(m_routes, [aLimit](const auto& aRow) {
    return aRow.second.flows == 0 && aRow.second.usedAt < aLimit;
  });
}

auto FlowTable::DropTargetsGoneBefore(Clock::time_point aLimit) -> void
{
  for (auto& flows : m_byPhase) {
    for (auto place = flows.begin(); place != flows.end();) {
      const auto next = std::next(place);
      const auto& target = *place->target;
      if (target.record.State() >= TargetState::Departed &&
          target.departedAt < aLimit) {
        Drop(place);
      }
      place = next;
    }
  }
}

auto FlowTable::WorkOf(const Address& aService) const -> RouteWork
{
  const auto found = m_routes.find(aService);
  return found == m_routes.end() ? RouteWork{} : found->second.work;
}

auto FlowTable::Size() const -> std::size_t
{
  return m_byId.size();
}

auto FlowTable::TakeEvicted() -> std::uint64_t
{
  return std::exchange(m_evicted, 0);
}

} // namespace bramleylock::forward
