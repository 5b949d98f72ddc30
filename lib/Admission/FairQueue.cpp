// The choice of the request that runs next, and of those that are refused.

#include "bramleylock/Admission/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace bramleylock::admission {

using lists::SizeClass;
using lists::Urgency;
using wire::Reason;

/// Requests that may wait for each slot, and the bytes that they may keep.
static constexpr double kQueuePerSlot = 16;
static constexpr std::size_t kQueueBytes = 8 << 20;

/// The longest wait that is worth queueing for, and the part of the time left
/// that it may take; a queue that is longer only holds dead work.
static constexpr double kLongestWaitSeconds = 1.0;
static constexpr double kWaitPart = 0.25;

/// The part of the slots that the least urgent class leaves to others, and
/// that long work leaves to short work.
static constexpr double kReservedPart = 0.1;
static constexpr double kKeptForShort = 0.25;

static auto Index(Urgency aUrgency) -> std::size_t
{
  return static_cast<std::size_t>(aUrgency);
}

auto FairQueue::SetShare(double aSlots, Clock::time_point aNow) -> void
{
  m_limit.SetShare(aSlots);
  Run(aNow);
}

auto FairQueue::QueueLimit() const -> std::size_t
{
  return static_cast<std::size_t>(kQueuePerSlot * (Slots() + 1));
}

auto FairQueue::CheckEarly(const AdmissionRequest& aRequest,
                           Clock::time_point aNow) -> Refusal
{
  const auto lane = FindLane(aRequest, aNow);
  const auto left = InSeconds(aRequest.deadline - aNow) - Hold(*lane);
  const auto full = static_cast<std::size_t>(Slots()) <= m_running;
  if (left <= 0) {
    return { Reason::Deadline, NextReturn(*lane, aNow) };
  }
  if (lane->waiting.empty() && (!full || lane->credit > 0)) {
    return {};
  }
  const auto ahead = static_cast<double>(lane->waiting.size() + 1);
  const auto wait = ahead / DrainPerSecond(*lane);
  if (wait > std::min(kLongestWaitSeconds, left * kWaitPart)) {
    return { Reason::Deadline, NextReturn(*lane, aNow) };
  }
  const bool overfull =
    m_waiting >= QueueLimit() || m_waitingBytes + aRequest.bytes > kQueueBytes;
  if (overfull && LongestLane() == lane) {
    return { Reason::QueueFull, NextReturn(*lane, aNow) };
  }
  return {};
}

auto FairQueue::LongestLane() const -> LanePointer
{
  const auto longer = [](const LanePointer& aLeft, const LanePointer& aRight) {
    return static_cast<double>(aLeft->waiting.size()) / aLeft->share <
           static_cast<double>(aRight->waiting.size()) / aRight->share;
  };
  const auto found =
    std::max_element(m_backlogged.begin(), m_backlogged.end(), longer);
  return found == m_backlogged.end() ? nullptr : *found;
}

auto FairQueue::PushOut(Lane& aLane) -> void
{
  const auto ticket = aLane.waiting.back();
  Leave(ticket);
  ticket->state = TicketState::PushedOut;
  ticket->changed();
}

auto FairQueue::Enter(const AdmissionRequest& aRequest, Clock::time_point aNow,
                      std::function<void()> aChanged) -> std::shared_ptr<Ticket>
{
  auto ticket = std::make_shared<Ticket>();
  ticket->lane = FindLane(aRequest, aNow);
  ticket->bytes = aRequest.bytes;
  ticket->changed = std::move(aChanged);
  auto& lane = *ticket->lane;
  if (lane.waiting.empty()) {
    m_backlogged.push_back(ticket->lane);
    // A lane that was idle gets no arrears.
    lane.virtualTime =
      std::max(lane.virtualTime, m_virtualTime[Index(lane.urgency)]);
  }
  lane.waiting.push_back(ticket);
  ++m_waiting;
  m_waitingBytes += ticket->bytes;
  Run(aNow);
  while (m_waiting > QueueLimit() || m_waitingBytes > kQueueBytes) {
    PushOut(*LongestLane());
  }
  return ticket;
}

auto FairQueue::Leave(const std::shared_ptr<Ticket>& aTicket) -> void
{
  assert(aTicket->state == TicketState::Waiting);
  auto& lane = *aTicket->lane;
  std::erase(lane.waiting, aTicket);
  --m_waiting;
  m_waitingBytes -= aTicket->bytes;
  aTicket->state = TicketState::Done;
  if (lane.waiting.empty()) {
    std::erase(m_backlogged, aTicket->lane);
  }
}

/// Whether the lane's credit covers all that waits in it. A lane that floods
/// has credit now and then, but never as much.
auto FairQueue::Covered(const Lane& aLane) const -> bool
{
  const auto charge =
    aLane.chargeSeconds > 0 ? aLane.chargeSeconds : Hold(aLane);
  const auto behind = static_cast<double>(aLane.waiting.size()) - 1;
  return aLane.credit > 0 && aLane.credit > behind * charge;
}

/// Whether the slots that are left may go to aLane's class and size.
auto FairQueue::MayRun(const Lane& aLane) const -> bool
{
  const auto slots = Slots();
  if (m_running == 0) {
    return true;
  }
  const auto fits = [slots](std::size_t aCount, double aKept) {
    return static_cast<double>(aCount + 1) <= slots - aKept;
  };
  const bool above = !Covered(aLane);
  if (above && static_cast<double>(m_running + 1) > m_limit.ExcessSlots()) {
    return false;
  }
  // Work within its weight does not wait here for work above it to end. What
  // this adds is bounded by the credit, and work above it starts again only
  // when all that runs has room.
  if (!above && !fits(m_running - m_runningAboveWeight, 0)) {
    return false;
  }
  if (aLane.urgency == Urgency::Bulk && m_urgentSeen &&
      !fits(m_runningByClass[Index(Urgency::Bulk)], slots * kReservedPart)) {
    return false;
  }
  return aLane.size == SizeClass::Short || !m_shortSeen ||
         fits(m_runningLong, slots * kKeptForShort);
}

auto FairQueue::PickNext(Clock::time_point aNow) -> LanePointer
{
  LanePointer best;
  const auto slots = Slots();
  const auto rank = [this, slots](const Lane& aLane) {
    // What the credit covers goes first, or an urgent flood would take every
    // slot for as long as it has any credit. Within its weight, a lane's own
    // part of the slots does not wait for more urgent classes; the order of
    // classes holds for the rest.
    const bool above = aLane.credit <= 0;
    const auto part = std::max(1.0, std::floor(aLane.share * slots));
    const bool holdsPart = static_cast<double>(aLane.running) >= part;
    return std::tuple(!Covered(aLane), above, above || holdsPart,
                      Index(aLane.urgency), aLane.virtualTime);
  };
  for (const auto& lane : m_backlogged) {
    Earn(*lane, aNow);
    if (MayRun(*lane) && (!best || rank(*lane) < rank(*best))) {
      best = lane;
    }
  }
  return best;
}

auto FairQueue::Run(Clock::time_point aNow) -> void
{
  while (m_waiting > 0) {
    const auto lane = PickNext(aNow);
    if (!lane) {
      return;
    }
    StartFirst(lane, aNow);
  }
}

auto FairQueue::StartFirst(const LanePointer& aLane, Clock::time_point aNow)
  -> void
{
  const auto ticket = aLane->waiting.front();
  ticket->aboveWeight = !Covered(*aLane);
  m_runningAboveWeight += ticket->aboveWeight ? 1 : 0;
  Leave(ticket);
  ticket->state = TicketState::Running;
  ticket->startedAt = aNow;
  ticket->charged =
    aLane->chargeSeconds > 0 ? aLane->chargeSeconds : Hold(*aLane);
  aLane->credit -= ticket->charged;
  auto& base = m_virtualTime[Index(aLane->urgency)];
  base = std::max(base, aLane->virtualTime);
  aLane->virtualTime += ticket->charged / aLane->share;
  AverageRunning(*aLane, aNow);
  ++aLane->running;
  ++m_running;
  ++m_runningByClass[Index(aLane->urgency)];
  m_runningLong += aLane->size == SizeClass::Long ? 1 : 0;
  ticket->changed();
}

auto FairQueue::FreeSlot(const Ticket& aTicket, Clock::time_point aNow) -> void
{
  auto& lane = *aTicket.lane;
  AverageRunning(lane, aNow);
  --lane.running;
  --m_running;
  m_runningAboveWeight -= aTicket.aboveWeight ? 1 : 0;
  --m_runningByClass[Index(lane.urgency)];
  m_runningLong -= lane.size == SizeClass::Long ? 1 : 0;
}

auto FairQueue::Vacate(const std::shared_ptr<Ticket>& aTicket,
                       Clock::time_point aNow) -> void
{
  assert(aTicket->state == TicketState::Running);
  // Targets may still be at work on these, so that a service whose requests
  // all turn quiet must not be sent ever more of them.
  if (static_cast<double>(m_vacated + 1) > Slots()) {
    return;
  }
  aTicket->state = TicketState::Vacated;
  ++m_vacated;
  FreeSlot(*aTicket, aNow);
  Run(aNow);
}

auto FairQueue::Finish(const std::shared_ptr<Ticket>& aTicket,
                       const AdmissionOutcome& aOutcome, Clock::time_point aNow)
  -> void
{
  const bool full = static_cast<double>(m_running + 1) > Slots();
  if (aTicket->state == TicketState::Vacated) {
    --m_vacated;
  } else {
    assert(aTicket->state == TicketState::Running);
    FreeSlot(*aTicket, aNow);
  }
  aTicket->state = TicketState::Done;
  Learn(*aTicket, aOutcome, full, aNow);
  if (aOutcome.shed) {
    m_limit.OnShed(aNow);
  }
  Run(aNow);
}

} // namespace bramleylock::admission
