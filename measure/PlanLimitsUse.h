// What a plan with limits got through, from records and the targets' journals.
#pragma once

#include <string>
#include <vector>

#include "measure/Cluster.h"
#include "measure/Load.h"

namespace bramleylock::measure {

/// The requests of one label that ran, by the targets' journals.
class PlanLimitsUse
{
public:
  PlanLimitsUse(const std::vector<Record>& aRecords, Cluster& aCluster);

  /// Requests that started between two seconds of the load and ran.
  auto Ran(double aFrom, double aUntil) const -> std::size_t;

  /// The most that ran in any window of aSeconds.
  auto MostRan(double aSeconds) const -> std::size_t;

  /// The most that were at targets at the same time, each for at least the
  /// middle part of aWorkMs.
  auto MostAtOnce(double aWorkMs) const -> std::size_t;

private:
  struct Run
  {
    double startedAt = 0;
    double endedAt = 0;
    bool answered = false;
  };

  std::vector<Run> m_runs;
};

/// The part of aRecords between two seconds of the load that was answered.
auto AnsweredPart(const std::vector<Record>& aRecords, double aFrom,
                  double aUntil) -> double;

} // namespace bramleylock::measure
