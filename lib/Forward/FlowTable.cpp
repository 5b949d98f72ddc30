// Flows in the order of their last packets.

#include "bramleylock/Forward/FlowTable.h"

#include <cassert>

namespace bramleylock::forward {

FlowTable::FlowTable(std::size_t aCapacity)
  : m_capacity(aCapacity)
{
  assert(aCapacity > 0);
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
    Drop(m_over.empty() ? m_inFlight.begin() : m_over.begin());
  }
  const auto place = m_inFlight.insert(
    m_inFlight.end(),
    TrackedFlow{ aFlow, &aTarget, aNow, aNow, 0, false, true, {} });
  m_byId[aFlow] = place;
  ++aTarget.evidence.inFlight;
  return *place;
}

auto FlowTable::PlaceOf(const TrackedFlow& aFlow) -> Place
{
  const auto found = m_byId.find(aFlow.id);
  assert(found != m_byId.end());
  return found->second;
}

auto FlowTable::ListOf(const TrackedFlow& aFlow) -> Flows&
{
  return aFlow.inFlight ? m_inFlight : m_over;
}

auto FlowTable::Touch(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  aFlow.lastPacketAt = aNow;
  auto& flows = ListOf(aFlow);
  flows.splice(flows.end(), flows, PlaceOf(aFlow));
}

auto FlowTable::Count(TrackedFlow& aFlow, DirectoryEntry& aTarget) -> void
{
  if (aFlow.inFlight && aFlow.target == &aTarget) {
    return;
  }
  Finish(aFlow);
  m_inFlight.splice(m_inFlight.end(), m_over, PlaceOf(aFlow));
  aFlow.target = &aTarget;
  aFlow.inFlight = true;
  ++aTarget.evidence.inFlight;
}

auto FlowTable::Finish(TrackedFlow& aFlow) -> void
{
  if (!aFlow.inFlight) {
    return;
  }
  m_over.splice(m_over.end(), m_inFlight, PlaceOf(aFlow));
  aFlow.inFlight = false;
  assert(aFlow.target->evidence.inFlight > 0);
  --aFlow.target->evidence.inFlight;
}

auto FlowTable::Drop(Place aPlace) -> void
{
  Finish(*aPlace);
  m_byId.erase(aPlace->id);
  m_over.erase(aPlace);
}

auto FlowTable::FinishQuietSince(Clock::time_point aLimit) -> void
{
  while (!m_inFlight.empty() && m_inFlight.front().lastPacketAt < aLimit) {
    Finish(m_inFlight.front());
  }
}

auto FlowTable::ForgetQuietSince(Clock::time_point aLimit) -> void
{
  // One that ended by itself stands behind those that were quiet longer.
  FinishQuietSince(aLimit);
  while (!m_over.empty() && m_over.front().lastPacketAt < aLimit) {
    Drop(m_over.begin());
  }
}

auto FlowTable::DropTargetsGoneBefore(Clock::time_point aLimit) -> void
{
  for (auto* flows : { &m_inFlight, &m_over }) {
    for (auto place = flows->begin(); place != flows->end();) {
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

auto FlowTable::Size() const -> std::size_t
{
  return m_byId.size();
}

} // namespace bramleylock::forward
