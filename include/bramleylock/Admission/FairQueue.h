// Weighted fair queue for the requests of one service.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Admission/AdaptiveConcurrencyLimit.h"
#include "bramleylock/Admission/AdmissionPolicy.h"

namespace bramleylock::admission {

enum class TicketState
{
  Waiting,
  Running,
  /// The request is running but no longer holds a slot.
  RunningWithoutSlot,
  Evicted,
  Done
};

struct Subqueue;

/// One request in the queue.
struct Ticket
{
  TicketState state = TicketState::Waiting;
  std::shared_ptr<Subqueue> subqueue;
  std::size_t bytes = 0;
  /// Slot-seconds that the subqueue was charged for the request.
  double chargedSeconds = 0;
  /// Whether the credit of the subqueue did not cover its backlog when the
  /// request was started.
  bool aboveShare = false;
  Clock::time_point startedAt{};
  /// Called when the state changes from Waiting.
  std::function<void()> onStateChange;
};

/// The requests of one plan and one kind of work. The credit is the slot time
/// that has accrued to the subqueue by its weight and that it has not used.
struct Subqueue
{
  std::string plan;
  lists::Urgency urgency = lists::Urgency::Normal;
  lists::SizeClass size = lists::SizeClass::Short;
  double planWeight = 1;
  /// The fraction of the slots that the weights assign to this subqueue.
  double share = 1;
  double credit = 0;
  Clock::time_point creditUpdatedAt{};
  Clock::time_point lastUsed{};
  /// Slot time used, divided by the share. The subqueue with the lowest value
  /// is served first.
  double virtualTime = 0;
  /// Moving average of the time that a request holds its slot; 0 if unknown.
  double meanHoldSeconds = 0;
  /// Moving average of the slot-seconds that a request is charged.
  double meanChargeSeconds = 0;
  /// Minimum of the slot-seconds that requests used. It drifts upwards, so that
  /// it follows a lasting increase.
  double minHoldSeconds = 0;
  /// Minimum of the seconds to the head of an answer, drifting upwards too.
  double minLatencySeconds = 0;
  std::size_t running = 0;
  /// Exponentially weighted average of the number of running requests.
  double meanRunning = 0;
  Clock::time_point meanRunningUpdatedAt{};
  std::deque<std::shared_ptr<Ticket>> waiting;
  /// The retry time that was given to the caller refused last.
  Clock::time_point nextRetryAt{};
};

/// Decides which request of a service runs next, and which is refused.
///
/// Subqueues within their share are served before subqueues above it. Within
/// both groups the more urgent class is served first, and within a class the
/// subqueue that has used the least slot time relative to its weight. The
/// functions of this class neither block nor read the clock.
class FairQueue
{
public:
  auto SetShare(double aSlots, Clock::time_point aNow) -> void;

  /// Checks whether aRequest would be refused now.
  auto CheckEarly(const AdmissionRequest& aRequest, Clock::time_point aNow)
    -> Refusal;

  /// Adds a request that has passed CheckEarly. It may start immediately.
  auto Enqueue(const AdmissionRequest& aRequest, Clock::time_point aNow,
               std::function<void()> aOnStateChange) -> std::shared_ptr<Ticket>;

  /// Removes a waiting request, for example after its deadline.
  auto RemoveWaiting(const std::shared_ptr<Ticket>& aTicket) -> void;

  /// How long the target may send nothing before the request of aTicket is
  /// presumed lost. The timeout is a multiple of the usual slot time of its
  /// kind of work.
  auto InactivityTimeout(const std::shared_ptr<Ticket>& aTicket) const
    -> Clock::duration;

  /// Frees the slot of a running request that is presumed lost. Does nothing if
  /// as many requests as there are slots are already running without a slot.
  auto ReleaseSlot(const std::shared_ptr<Ticket>& aTicket,
                   Clock::time_point aNow) -> void;

  /// Ends a running request and starts waiting ones.
  auto Finish(const std::shared_ptr<Ticket>& aTicket,
              const AdmissionOutcome& aOutcome, Clock::time_point aNow) -> void;

  /// The time after which a refused caller of aTicket's subqueue should retry.
  auto RetryAfterMs(const std::shared_ptr<Ticket>& aTicket,
                    Clock::time_point aNow) -> std::uint32_t;

  auto Waiting() const -> std::size_t { return m_waiting; }
  auto Running() const -> std::size_t { return m_running; }
  auto Slots() const -> double { return m_limit.Slots(); }

private:
  using SubqueuePointer = std::shared_ptr<Subqueue>;

  auto FindSubqueue(const AdmissionRequest& aRequest, Clock::time_point aNow)
    -> SubqueuePointer;
  auto RefreshShares(Clock::time_point aNow) -> void;
  /// Updates the average number of running requests to aNow. Has to be called
  /// before each change of that number.
  static auto UpdateMeanRunning(Subqueue& aSubqueue, Clock::time_point aNow)
    -> void;
  /// Updates the estimates for the kind of work, the concurrency limit and the
  /// credit when a request ends.
  auto UpdateEstimates(const Ticket& aTicket, const AdmissionOutcome& aOutcome,
                       bool aSaturated, Clock::time_point aNow) -> void;
  auto AccrueCredit(Subqueue& aSubqueue, Clock::time_point aNow) -> void;
  auto HoldSeconds(const Subqueue& aSubqueue) const -> double;
  auto ServiceRatePerSecond(const Subqueue& aSubqueue) const -> double;
  auto NextRetryAfterMs(Subqueue& aSubqueue, Clock::time_point aNow)
    -> std::uint32_t;
  auto QueueLimit() const -> std::size_t;
  auto LongestSubqueue() const -> SubqueuePointer;
  auto EvictNewest(Subqueue& aSubqueue) -> void;
  auto CreditCoversBacklog(const Subqueue& aSubqueue) const -> bool;
  auto CanStart(const Subqueue& aSubqueue) const -> bool;
  auto PickNext(Clock::time_point aNow) -> SubqueuePointer;
  auto StartWaiting(Clock::time_point aNow) -> void;
  auto RemoveRunning(const Ticket& aTicket, Clock::time_point aNow) -> void;
  auto StartFront(const SubqueuePointer& aSubqueue, Clock::time_point aNow)
    -> void;

  AdaptiveConcurrencyLimit m_limit;
  std::map<std::pair<std::string, std::string>, SubqueuePointer> m_subqueues;
  /// Subqueues with waiting requests; at most one for each waiting request.
  std::vector<SubqueuePointer> m_backlogged;
  std::array<double, lists::kUrgencyNames.size()> m_virtualTimeByUrgency{};
  std::array<std::size_t, lists::kUrgencyNames.size()> m_runningByUrgency{};
  std::size_t m_running = 0;
  std::size_t m_runningLong = 0;
  std::size_t m_runningAboveShare = 0;
  std::size_t m_runningWithoutSlot = 0;
  std::size_t m_waiting = 0;
  std::size_t m_waitingBytes = 0;
  /// Whether the service has had short or non-bulk requests, for which slots
  /// are reserved.
  bool m_hasShortWork = false;
  bool m_hasNonBulkWork = false;
  double m_meanHoldSeconds = 0;
  Clock::time_point m_sharesUpdatedAt{};
};

} // namespace bramleylock::admission
