// When the events of a soak begin and end.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Random.h"

namespace bramleylock::measure {

/// A kind of event, and how one begins.
struct FaultKind
{
  const char* name;
  std::function<void()> begin;
};

/// Begins events one after the other and ends those that last, so that they
/// overlap. Each kind comes twice before any comes a third time.
class FaultSchedule
{
public:
  /// aElapsed tells the seconds of the run.
  FaultSchedule(std::vector<FaultKind> aKinds, Random& aRandom,
                std::function<double()> aElapsed);

  /// Begins and ends events until the run is aUntil seconds old; aLook is
  /// called in between.
  auto Run(double aUntil, const std::function<void()>& aLook) -> void;

  /// Calls aEnd when the run is aSeconds old.
  auto EndAt(double aSeconds, std::function<void()> aEnd) -> void;

  /// Ends all events at once.
  auto Calm() -> void;

  /// How often each kind came.
  auto Counts() const -> const std::map<std::string, std::uint64_t>&;

private:
  struct Ending
  {
    double at;
    std::function<void()> end;
  };

  auto Begin() -> void;
  auto EndDue(double aNow) -> void;

  std::vector<FaultKind> m_kinds;
  Random& m_random;
  std::function<double()> m_elapsed;
  std::vector<FaultKind> m_deck;
  std::vector<Ending> m_endings;
  std::map<std::string, std::uint64_t> m_counts;
};

} // namespace bramleylock::measure
