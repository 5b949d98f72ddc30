// Selection of the request to start next and of the requests to refuse.

#include "bramleylock/Admission/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace bramleylock::admission {

using lists::SizeClass;
using lists::Urgency;
using wire::Reason;

/// Limits of the queue: waiting requests for each slot, and bytes held by all
/// waiting requests.
static constexpr double kQueuePerSlot = 16;
static constexpr std::size_t kQueueBytes = 8 << 20;

/// Limits of the expected wait: an absolute one, and a fraction of the time
/// left to the deadline. A longer queue would only hold requests that are no
/// longer useful when they run.
static constexpr double kLongestWaitSeconds = 1.0;
static constexpr double kWaitPart = 0.25;

/// The fraction of the slots reserved for classes other than bulk, and the
/// fraction reserved for short requests.
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
    // An idle subqueue does not accumulate a claim to past slot time.
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

/// Whether the credit of the subqueue covers all its waiting requests. A
/// subqueue that is flooded has some credit at times, but never enough for its
/// backlog.
auto FairQueue::Covered(const Lane& aLane) const -> bool
{
  const auto charge =
    aLane.chargeSeconds > 0 ? aLane.chargeSeconds : Hold(aLane);
  const auto behind = static_cast<double>(aLane.waiting.size()) - 1;
  return aLane.credit > 0 && aLane.credit > behind * charge;
}

/// Whether a request of aLane may start, given the free slots and the slots
/// reserved for other classes and sizes.
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
  // A request within the fair share does not wait for a request above it to
  // end. The extra concurrency is bounded by the credit, and requests above the
  // fair share start again only when all running requests fit into their limit.
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
    // Subqueues whose credit covers their backlog come first; otherwise a flood
    // of urgent requests would take every slot while it has any credit. A
    // subqueue with credit does not wait for more urgent classes until it uses
    // its own share of the slots; beyond that, the order of classes applies.
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
  // Targets may still be processing these requests. Without this bound, a
  // service whose targets all stop responding would be sent more and more
  // requests.
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
