// Schedules the fault events of a soak test.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Random.h"

namespace bramleylock::measure {

/// A kind of fault event and the function that starts one.
struct FaultKind
{
  const char* name;
  std::function<void()> begin;
};

/// Starts fault events at fixed intervals in random order. Events that last
/// longer than the interval overlap. Each kind occurs twice before any kind
/// occurs a third time.
class FaultSchedule
{
public:
  /// aElapsed returns the seconds since the start of the run.
  FaultSchedule(std::vector<FaultKind> aKinds, Random& aRandom,
                std::function<double()> aElapsed);

  /// Starts and ends events until aUntil seconds of the run have passed, and
  /// calls aPoll every 50 ms.
  auto Run(double aUntil, const std::function<void()>& aPoll) -> void;

  /// Schedules aEnd for aSeconds after the start of the run.
  auto ScheduleEnd(double aSeconds, std::function<void()> aEnd) -> void;

  /// Ends all events immediately, whatever their scheduled end.
  auto EndAll() -> void;

  /// Number of events by kind.
  auto Counts() const -> const std::map<std::string, std::uint64_t>&;

private:
  struct ScheduledEnd
  {
    double at;
    std::function<void()> end;
  };

  auto StartNextEvent() -> void;
  auto RunDueEnds(double aNow) -> void;

  std::vector<FaultKind> m_kinds;
  Random& m_random;
  std::function<double()> m_elapsed;
  std::vector<FaultKind> m_remainingKinds;
  std::vector<ScheduledEnd> m_scheduledEnds;
  std::map<std::string, std::uint64_t> m_counts;
};

} // namespace bramleylock::measure
