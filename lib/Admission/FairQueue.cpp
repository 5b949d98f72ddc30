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
static constexpr double kMaxWaitingPerSlot = 16;
static constexpr std::size_t kMaxWaitingBytes = 8 << 20;

/// Limits of the expected wait: an absolute one, and a fraction of the time
/// left to the deadline. A longer queue would only hold requests that are no
/// longer useful when they run.
static constexpr double kMaxWaitSeconds = 1.0;
static constexpr double kMaxWaitFraction = 0.25;

/// The fraction of the slots reserved for classes other than bulk, and the
/// fraction reserved for short requests.
static constexpr double kNonBulkReservedFraction = 0.1;
static constexpr double kShortReservedFraction = 0.25;

static auto Index(Urgency aUrgency) -> std::size_t
{
  return static_cast<std::size_t>(aUrgency);
}

auto FairQueue::SetShare(double aSlots, Clock::time_point aNow) -> void
{
  m_limit.SetShare(aSlots);
  StartWaiting(aNow);
}

auto FairQueue::QueueLimit() const -> std::size_t
{
  return static_cast<std::size_t>(kMaxWaitingPerSlot * (Slots() + 1));
}

auto FairQueue::CheckEarly(const AdmissionRequest& aRequest,
                           Clock::time_point aNow) -> Refusal
{
  const auto subqueue = FindSubqueue(aRequest, aNow);
  const auto secondsLeft =
    InSeconds(aRequest.deadline - aNow) - HoldSeconds(*subqueue);
  const auto saturated = static_cast<std::size_t>(Slots()) <= m_running;
  if (secondsLeft <= 0) {
    return { Reason::Deadline, NextRetryAfterMs(*subqueue, aNow) };
  }
  if (subqueue->waiting.empty() && (!saturated || subqueue->credit > 0)) {
    return {};
  }
  const auto position = static_cast<double>(subqueue->waiting.size() + 1);
  const auto expectedWaitSeconds = position / ServiceRatePerSecond(*subqueue);
  if (expectedWaitSeconds >
      std::min(kMaxWaitSeconds, secondsLeft * kMaxWaitFraction)) {
    return { Reason::Deadline, NextRetryAfterMs(*subqueue, aNow) };
  }
  const bool overfull = m_waiting >= QueueLimit() ||
                        m_waitingBytes + aRequest.bytes > kMaxWaitingBytes;
  if (overfull && LongestSubqueue() == subqueue) {
    return { Reason::QueueFull, NextRetryAfterMs(*subqueue, aNow) };
  }
  return {};
}

auto FairQueue::LongestSubqueue() const -> SubqueuePointer
{
  const auto hasShorterBacklog = [](const SubqueuePointer& aLeft,
                                    const SubqueuePointer& aRight) {
    return static_cast<double>(aLeft->waiting.size()) / aLeft->share <
           static_cast<double>(aRight->waiting.size()) / aRight->share;
  };
  const auto found = std::max_element(m_backlogged.begin(), m_backlogged.end(),
                                      hasShorterBacklog);
  return found == m_backlogged.end() ? nullptr : *found;
}

auto FairQueue::EvictNewest(Subqueue& aSubqueue) -> void
{
  const auto ticket = aSubqueue.waiting.back();
  RemoveWaiting(ticket);
  ticket->state = TicketState::Evicted;
  ticket->onStateChange();
}

auto FairQueue::Enqueue(const AdmissionRequest& aRequest,
                        Clock::time_point aNow,
                        std::function<void()> aOnStateChange)
  -> std::shared_ptr<Ticket>
{
  auto ticket = std::make_shared<Ticket>();
  ticket->subqueue = FindSubqueue(aRequest, aNow);
  ticket->bytes = aRequest.bytes;
  ticket->onStateChange = std::move(aOnStateChange);
  auto& subqueue = *ticket->subqueue;
  if (subqueue.waiting.empty()) {
    m_backlogged.push_back(ticket->subqueue);
    // An idle subqueue does not accumulate a claim to past slot time.
    subqueue.virtualTime = std::max(
      subqueue.virtualTime, m_virtualTimeByUrgency[Index(subqueue.urgency)]);
  }
  subqueue.waiting.push_back(ticket);
  ++m_waiting;
  m_waitingBytes += ticket->bytes;
  StartWaiting(aNow);
  while (m_waiting > QueueLimit() || m_waitingBytes > kMaxWaitingBytes) {
    EvictNewest(*LongestSubqueue());
  }
  return ticket;
}

auto FairQueue::RemoveWaiting(const std::shared_ptr<Ticket>& aTicket) -> void
{
  assert(aTicket->state == TicketState::Waiting);
  auto& subqueue = *aTicket->subqueue;
  std::erase(subqueue.waiting, aTicket);
  --m_waiting;
  m_waitingBytes -= aTicket->bytes;
  aTicket->state = TicketState::Done;
  if (subqueue.waiting.empty()) {
    std::erase(m_backlogged, aTicket->subqueue);
  }
}

/// Whether the credit of the subqueue covers all its waiting requests. A
/// subqueue that is flooded has some credit at times, but never enough for its
/// backlog.
auto FairQueue::CreditCoversBacklog(const Subqueue& aSubqueue) const -> bool
{
  const auto charge = aSubqueue.meanChargeSeconds > 0
                        ? aSubqueue.meanChargeSeconds
                        : HoldSeconds(aSubqueue);
  const auto waitingBehindFront =
    static_cast<double>(aSubqueue.waiting.size()) - 1;
  return aSubqueue.credit > 0 && aSubqueue.credit > waitingBehindFront * charge;
}

/// Whether a request of aSubqueue may start, given the free slots and the slots
/// reserved for other classes and sizes.
auto FairQueue::CanStart(const Subqueue& aSubqueue) const -> bool
{
  const auto slots = Slots();
  if (m_running == 0) {
    return true;
  }
  const auto fits = [slots](std::size_t aCount, double aReserved) {
    return static_cast<double>(aCount + 1) <= slots - aReserved;
  };
  const bool isAboveShare = !CreditCoversBacklog(aSubqueue);
  if (isAboveShare &&
      static_cast<double>(m_running + 1) > m_limit.AboveShareSlots()) {
    return false;
  }
  // A request within the fair share does not wait for a request above it to
  // end. The extra concurrency is bounded by the credit, and requests above the
  // fair share start again only when all running requests fit into their limit.
  if (!isAboveShare && !fits(m_running - m_runningAboveShare, 0)) {
    return false;
  }
  if (aSubqueue.urgency == Urgency::Bulk && m_hasNonBulkWork &&
      !fits(m_runningByUrgency[Index(Urgency::Bulk)],
            slots * kNonBulkReservedFraction)) {
    return false;
  }
  return aSubqueue.size == SizeClass::Short || !m_hasShortWork ||
         fits(m_runningLong, slots * kShortReservedFraction);
}

auto FairQueue::PickNext(Clock::time_point aNow) -> SubqueuePointer
{
  SubqueuePointer best;
  const auto slots = Slots();
  const auto rank = [this, slots](const Subqueue& aSubqueue) {
    // Subqueues whose credit covers their backlog come first; otherwise a flood
    // of urgent requests would take every slot while it has any credit. A
    // subqueue with credit does not wait for more urgent classes until it uses
    // its own share of the slots; beyond that, the order of classes applies.
    const bool hasNoCredit = aSubqueue.credit <= 0;
    const auto ownShare = std::max(1.0, std::floor(aSubqueue.share * slots));
    const bool usesOwnShare =
      static_cast<double>(aSubqueue.running) >= ownShare;
    return std::tuple(!CreditCoversBacklog(aSubqueue), hasNoCredit,
                      hasNoCredit || usesOwnShare, Index(aSubqueue.urgency),
                      aSubqueue.virtualTime);
  };
  for (const auto& subqueue : m_backlogged) {
    AccrueCredit(*subqueue, aNow);
    if (CanStart(*subqueue) && (!best || rank(*subqueue) < rank(*best))) {
      best = subqueue;
    }
  }
  return best;
}

auto FairQueue::StartWaiting(Clock::time_point aNow) -> void
{
  while (m_waiting > 0) {
    const auto subqueue = PickNext(aNow);
    if (!subqueue) {
      return;
    }
    StartFront(subqueue, aNow);
  }
}

auto FairQueue::StartFront(const SubqueuePointer& aSubqueue,
                           Clock::time_point aNow) -> void
{
  const auto ticket = aSubqueue->waiting.front();
  ticket->aboveShare = !CreditCoversBacklog(*aSubqueue);
  m_runningAboveShare += ticket->aboveShare ? 1 : 0;
  RemoveWaiting(ticket);
  ticket->state = TicketState::Running;
  ticket->startedAt = aNow;
  ticket->chargedSeconds = aSubqueue->meanChargeSeconds > 0
                             ? aSubqueue->meanChargeSeconds
                             : HoldSeconds(*aSubqueue);
  aSubqueue->credit -= ticket->chargedSeconds;
  auto& classVirtualTime = m_virtualTimeByUrgency[Index(aSubqueue->urgency)];
  classVirtualTime = std::max(classVirtualTime, aSubqueue->virtualTime);
  aSubqueue->virtualTime += ticket->chargedSeconds / aSubqueue->share;
  UpdateMeanRunning(*aSubqueue, aNow);
  ++aSubqueue->running;
  ++m_running;
  ++m_runningByUrgency[Index(aSubqueue->urgency)];
  m_runningLong += aSubqueue->size == SizeClass::Long ? 1 : 0;
  ticket->onStateChange();
}

auto FairQueue::RemoveRunning(const Ticket& aTicket, Clock::time_point aNow)
  -> void
{
  auto& subqueue = *aTicket.subqueue;
  UpdateMeanRunning(subqueue, aNow);
  --subqueue.running;
  --m_running;
  m_runningAboveShare -= aTicket.aboveShare ? 1 : 0;
  --m_runningByUrgency[Index(subqueue.urgency)];
  m_runningLong -= subqueue.size == SizeClass::Long ? 1 : 0;
}

auto FairQueue::ReleaseSlot(const std::shared_ptr<Ticket>& aTicket,
                            Clock::time_point aNow) -> void
{
  assert(aTicket->state == TicketState::Running);
  // Targets may still be processing these requests. Without this bound, a
  // service whose targets all stop responding would be sent more and more
  // requests.
  if (static_cast<double>(m_runningWithoutSlot + 1) > Slots()) {
    return;
  }
  aTicket->state = TicketState::RunningWithoutSlot;
  ++m_runningWithoutSlot;
  RemoveRunning(*aTicket, aNow);
  StartWaiting(aNow);
}

auto FairQueue::Finish(const std::shared_ptr<Ticket>& aTicket,
                       const AdmissionOutcome& aOutcome, Clock::time_point aNow)
  -> void
{
  const bool saturated = static_cast<double>(m_running + 1) > Slots();
  if (aTicket->state == TicketState::RunningWithoutSlot) {
    --m_runningWithoutSlot;
  } else {
    assert(aTicket->state == TicketState::Running);
    RemoveRunning(*aTicket, aNow);
  }
  aTicket->state = TicketState::Done;
  UpdateEstimates(*aTicket, aOutcome, saturated, aNow);
  if (aOutcome.shed) {
    m_limit.OnShed(aNow);
  }
  StartWaiting(aNow);
}

} // namespace bramleylock::admission
