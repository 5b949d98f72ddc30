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

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/LearntLimit.h"

namespace bramleylock::admission {

enum class TicketState
{
  Waiting,
  Running,
  /// The request is running but no longer holds a slot.
  Vacated,
  PushedOut,
  Done
};

struct Lane;

/// One request in the queue.
struct Ticket
{
  TicketState state = TicketState::Waiting;
  std::shared_ptr<Lane> lane;
  std::size_t bytes = 0;
  /// Slot-seconds that the subqueue was charged for the request.
  double charged = 0;
  /// Whether the credit of the subqueue did not cover its backlog when the
  /// request was started.
  bool aboveWeight = false;
  Clock::time_point startedAt{};
  /// Called when the state changes from Waiting.
  std::function<void()> changed;
};

/// The requests of one plan and one kind of work. The credit is the slot time
/// that has accrued to the subqueue by its weight and that it has not used.
struct Lane
{
  std::string plan;
  lists::Urgency urgency = lists::Urgency::Normal;
  lists::SizeClass size = lists::SizeClass::Short;
  double planWeight = 1;
  /// The fraction of the slots that the weights assign to this subqueue.
  double share = 1;
  double credit = 0;
  Clock::time_point creditAt{};
  Clock::time_point lastUsed{};
  /// Slot time used, divided by the share. The subqueue with the lowest value
  /// is served first.
  double virtualTime = 0;
  /// Moving average of the time that a request holds its slot; 0 if unknown.
  double holdSeconds = 0;
  /// Moving average of the slot-seconds that a request is charged.
  double chargeSeconds = 0;
  /// Minimum of the slot-seconds that requests used. It drifts upwards, so that
  /// it follows a lasting increase.
  double leastHold = 0;
  /// Minimum of the seconds to the head of an answer, drifting upwards too.
  double leastLatency = 0;
  std::size_t running = 0;
  /// Exponentially weighted average of the number of running requests.
  double meanRunning = 0;
  Clock::time_point meanRunningAt{};
  std::deque<std::shared_ptr<Ticket>> waiting;
  /// The retry time that was given to the caller refused last.
  Clock::time_point nextReturn{};
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
  auto Enter(const AdmissionRequest& aRequest, Clock::time_point aNow,
             std::function<void()> aChanged) -> std::shared_ptr<Ticket>;

  /// Removes a waiting request, for example after its deadline.
  auto Leave(const std::shared_ptr<Ticket>& aTicket) -> void;

  /// How long the target may send nothing before the request of aTicket is
  /// presumed lost. The time-out is a multiple of the usual slot time of its
  /// kind of work.
  auto OverdueAfter(const std::shared_ptr<Ticket>& aTicket) const
    -> Clock::duration;

  /// Frees the slot of a running request that is presumed lost. Does nothing if
  /// as many requests as there are slots are already running without a slot.
  auto Vacate(const std::shared_ptr<Ticket>& aTicket, Clock::time_point aNow)
    -> void;

  /// Ends a running request and starts waiting ones.
  auto Finish(const std::shared_ptr<Ticket>& aTicket,
              const AdmissionOutcome& aOutcome, Clock::time_point aNow) -> void;

  /// The time after which a refused caller of aTicket's subqueue should retry.
  auto RetryAfter(const std::shared_ptr<Ticket>& aTicket,
                  Clock::time_point aNow) -> std::uint32_t;

  auto Waiting() const -> std::size_t { return m_waiting; }
  auto Running() const -> std::size_t { return m_running; }
  auto Slots() const -> double { return m_limit.Slots(); }

private:
  using LanePointer = std::shared_ptr<Lane>;

  auto FindLane(const AdmissionRequest& aRequest, Clock::time_point aNow)
    -> LanePointer;
  auto RefreshShares(Clock::time_point aNow) -> void;
  /// Updates the average number of running requests to aNow. Has to be called
  /// before each change of that number.
  static auto AverageRunning(Lane& aLane, Clock::time_point aNow) -> void;
  /// Updates the estimates for the kind of work, the concurrency limit and the
  /// credit when a request ends.
  auto Learn(const Ticket& aTicket, const AdmissionOutcome& aOutcome,
             bool aFull, Clock::time_point aNow) -> void;
  auto Earn(Lane& aLane, Clock::time_point aNow) -> void;
  auto Hold(const Lane& aLane) const -> double;
  auto DrainPerSecond(const Lane& aLane) const -> double;
  auto NextReturn(Lane& aLane, Clock::time_point aNow) -> std::uint32_t;
  auto QueueLimit() const -> std::size_t;
  auto LongestLane() const -> LanePointer;
  auto PushOut(Lane& aLane) -> void;
  auto Covered(const Lane& aLane) const -> bool;
  auto MayRun(const Lane& aLane) const -> bool;
  auto PickNext(Clock::time_point aNow) -> LanePointer;
  auto Run(Clock::time_point aNow) -> void;
  auto FreeSlot(const Ticket& aTicket, Clock::time_point aNow) -> void;
  auto StartFirst(const LanePointer& aLane, Clock::time_point aNow) -> void;

  LearntLimit m_limit;
  std::map<std::pair<std::string, std::string>, LanePointer> m_lanes;
  /// Subqueues with waiting requests; at most one for each waiting request.
  std::vector<LanePointer> m_backlogged;
  std::array<double, lists::kUrgencyNames.size()> m_virtualTime{};
  std::array<std::size_t, lists::kUrgencyNames.size()> m_runningByClass{};
  std::size_t m_running = 0;
  std::size_t m_runningLong = 0;
  std::size_t m_runningAboveWeight = 0;
  std::size_t m_vacated = 0;
  std::size_t m_waiting = 0;
  std::size_t m_waitingBytes = 0;
  /// Whether the service has had short or non-bulk requests, for which slots
  /// are reserved.
  bool m_shortSeen = false;
  bool m_urgentSeen = false;
  double m_holdSeconds = 0;
  Clock::time_point m_sharesAt{};
};

} // namespace bramleylock::admission
