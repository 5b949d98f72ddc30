// The waiting and running requests of one service, shared fairly.
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
  /// Still runs, but holds no slot.
  Vacated,
  PushedOut,
  Done
};

struct Lane;

/// One request's place.
struct Ticket
{
  TicketState state = TicketState::Waiting;
  std::shared_ptr<Lane> lane;
  std::size_t bytes = 0;
  /// Slot-seconds that the lane was charged for the request.
  double charged = 0;
  /// Whether its lane's credit did not cover it when it began to run.
  bool aboveWeight = false;
  Clock::time_point startedAt{};
  /// Called when the state changes from Waiting.
  std::function<void()> changed;
};

/// The requests of one plan and one kind of work. Its credit is the slot time
/// that its weight has earned and it has not used.
struct Lane
{
  std::string plan;
  lists::Urgency urgency = lists::Urgency::Normal;
  lists::SizeClass size = lists::SizeClass::Short;
  double planWeight = 1;
  /// The lane's part of all active lanes' weights.
  double share = 1;
  double credit = 0;
  Clock::time_point creditAt{};
  Clock::time_point lastUsed{};
  /// Slot time used over weight; the lane with the least goes first.
  double virtualTime = 0;
  /// Smoothed seconds that a request holds its slot; 0 while unknown.
  double holdSeconds = 0;
  /// Smoothed slot-seconds that a request is charged.
  double chargeSeconds = 0;
  /// Least slot-seconds that a request used, drifting up.
  double leastHold = 0;
  /// Least seconds to an answer's head, drifting up.
  double leastLatency = 0;
  std::size_t running = 0;
  /// Requests that ran at the same time, averaged over the last moments.
  double meanRunning = 0;
  Clock::time_point meanRunningAt{};
  std::deque<std::shared_ptr<Ticket>> waiting;
  /// When the last caller that was sent away may come back.
  Clock::time_point nextReturn{};
};

/// Decides which request of a service runs next, and which is refused.
///
/// Work within its weight goes before work above it; inside both, the more
/// urgent class goes first, and inside a class the lane that has used least
/// slot time for its weight. Nothing here waits or reads the clock.
class FairQueue
{
public:
  auto SetShare(double aSlots, Clock::time_point aNow) -> void;

  /// Whether aRequest would be refused now.
  auto CheckEarly(const AdmissionRequest& aRequest, Clock::time_point aNow)
    -> Refusal;

  /// Adds a request that the early check let pass; it may run at once.
  auto Enter(const AdmissionRequest& aRequest, Clock::time_point aNow,
             std::function<void()> aChanged) -> std::shared_ptr<Ticket>;

  /// Takes back a waiting request, whose deadline has come.
  auto Leave(const std::shared_ptr<Ticket>& aTicket) -> void;

  /// How long the target of aTicket's request may be quiet before the request
  /// is taken for lost: far longer than its kind holds a slot.
  auto OverdueAfter(const std::shared_ptr<Ticket>& aTicket) const
    -> Clock::duration;

  /// Frees the slot of a running request that is taken for lost, unless as
  /// many as there are slots already run without one.
  auto Vacate(const std::shared_ptr<Ticket>& aTicket, Clock::time_point aNow)
    -> void;

  /// Ends a running request and lets others run.
  auto Finish(const std::shared_ptr<Ticket>& aTicket,
              const AdmissionOutcome& aOutcome, Clock::time_point aNow) -> void;

  /// When a caller of aTicket's lane should come back.
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
  /// Brings the lane's average up to aNow; has to go before each change of what
  /// runs.
  static auto AverageRunning(Lane& aLane, Clock::time_point aNow) -> void;
  /// Takes over what the end of a request tells of its kind and the targets.
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
  /// Lanes with waiting requests; never more than there are requests.
  std::vector<LanePointer> m_backlogged;
  std::array<double, lists::kUrgencyNames.size()> m_virtualTime{};
  std::array<std::size_t, lists::kUrgencyNames.size()> m_runningByClass{};
  std::size_t m_running = 0;
  std::size_t m_runningLong = 0;
  std::size_t m_runningAboveWeight = 0;
  std::size_t m_vacated = 0;
  std::size_t m_waiting = 0;
  std::size_t m_waitingBytes = 0;
  /// Whether the service has work that slots are to be kept for.
  bool m_shortSeen = false;
  bool m_urgentSeen = false;
  double m_holdSeconds = 0;
  Clock::time_point m_sharesAt{};
};

} // namespace bramleylock::admission
