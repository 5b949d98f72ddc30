// Counts runs of requests in time windows.

#include "measure/PlanLimitsUse.h"

#include <algorithm>

namespace bramleylock::measure {

/// An answer reaches the caller shortly after the target has finished, so this
/// fraction of the work's time at either end is not counted as running.
static constexpr double kUncertainFraction = 0.2;

static constexpr double kMillisecondsPerSecond = 1000;

PlanLimitsUse::PlanLimitsUse(const std::vector<Record>& aRecords,
                             Cluster& aCluster)
{
  const auto runs = aCluster.RunsByRequest();
  for (const auto& record : aRecords) {
    if (runs.contains(record.id)) {
      const auto seconds = record.latencyMs / kMillisecondsPerSecond;
      m_runs.push_back({ record.startedAt, record.startedAt + seconds,
                         record.outcome == caller::CallOutcome::Answered });
    }
  }
  std::sort(m_runs.begin(), m_runs.end(),
            [](const Run& aLeft, const Run& aRight) {
              return aLeft.startedAt < aRight.startedAt;
            });
}

auto PlanLimitsUse::RunsBetween(double aFrom, double aUntil) const
  -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(m_runs.begin(), m_runs.end(), [&](const Run& aRun) {
      return aRun.startedAt >= aFrom && aRun.startedAt < aUntil;
    }));
}

auto PlanLimitsUse::MaxRunsInWindow(double aSeconds) const -> std::size_t
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < m_runs.size(); ++last) {
    while (m_runs[last].startedAt - m_runs[first].startedAt >= aSeconds) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

auto PlanLimitsUse::MaxConcurrentRuns(double aWorkMs) const -> std::size_t
{
  const auto work = aWorkMs / kMillisecondsPerSecond;
  std::vector<std::pair<double, int>> changes;
  for (const auto& run : m_runs) {
    if (run.answered) {
      changes.emplace_back(run.endedAt - work * (1 - kUncertainFraction), 1);
      changes.emplace_back(run.endedAt - work * kUncertainFraction, -1);
    }
  }
  std::sort(changes.begin(), changes.end());
  int now = 0;
  int most = 0;
  for (const auto& [at, change] : changes) {
    now += change;
    most = std::max(most, now);
  }
  return static_cast<std::size_t>(most);
}

auto AnsweredFraction(const std::vector<Record>& aRecords, double aFrom,
                      double aUntil) -> double
{
  double offered = 0;
  double answered = 0;
  for (const auto& record : aRecords) {
    if (record.startedAt >= aFrom && record.startedAt < aUntil) {
      ++offered;
      answered += record.outcome == caller::CallOutcome::Answered ? 1 : 0;
    }
  }
  return offered > 0 ? answered / offered : 0;
}

} // namespace bramleylock::measure
