// Computes a plan's use of its limits from the callers' records and the
// targets' journals.
#pragma once

#include <string>
#include <vector>

#include "measure/Cluster.h"
#include "measure/Load.h"

namespace bramleylock::measure {

/// The requests of one label that ran according to the targets' journals.
class PlanLimitsUse
{
public:
  PlanLimitsUse(const std::vector<Record>& aRecords, Cluster& aCluster);

  /// The number of requests that ran and were sent between aFrom and aUntil, in
  /// seconds of the load.
  auto RunsBetween(double aFrom, double aUntil) const -> std::size_t;

  /// The maximum number of requests that ran and were sent within any window of
  /// aSeconds.
  auto MaxRunsInWindow(double aSeconds) const -> std::size_t;

  /// A lower bound of the maximum number of requests that targets executed
  /// concurrently. It counts only the middle part of each execution of
  /// aWorkMs.
  auto MaxConcurrentRuns(double aWorkMs) const -> std::size_t;

private:
  struct Run
  {
    double startedAt = 0;
    double endedAt = 0;
    bool answered = false;
  };

  std::vector<Run> m_runs;
};

/// The answered fraction of the requests sent between aFrom and aUntil, in
/// seconds of the load.
auto AnsweredFraction(const std::vector<Record>& aRecords, double aFrom,
                      double aUntil) -> double;

} // namespace bramleylock::measure
