// The interface and registry of scenarios, and the report of their results.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Support/Registry.h"
#include "measure/Cluster.h"
#include "measure/Load.h"

namespace bramleylock::measure {

struct ScenarioOptions
{
  std::uint64_t seed = 1;
  /// Length of the load; 0 selects the scenario's default.
  double seconds = 0;
  /// Number of balancers, for scenarios with a variable fleet size; 0 selects
  /// the scenario's default.
  int nodes = 0;
  const Deployment* deployment = nullptr;
};

/// Results in the order in which they were added, and the requirements that did
/// not hold.
class Report
{
public:
  auto Add(const std::string& aKey, const std::string& aValue) -> void;
  auto Add(const std::string& aKey, double aValue) -> void;
  auto Add(const std::string& aKey, std::uint64_t aValue) -> void;

  /// Adds a requirement that must hold. The report lists those that did not.
  auto Require(const std::string& aWhat, bool aHolds) -> void;

  /// Adds the counts of aChecks. Requires that no answer was wrong, no
  /// at-most-once request ran twice, and no request that was reported as not
  /// run had run.
  auto AddChecks(const Checks& aChecks) -> void;

  /// Adds the median and 99th percentile of each label.
  auto AddLatencies(const std::map<std::string, std::vector<Record>>& aRecords)
    -> void;

  /// Adds the number of unanswered requests of each label, by reason.
  auto AddReasons(const std::map<std::string, std::vector<Record>>& aRecords)
    -> void;

  /// Whether all requirements hold.
  auto AllHold() const -> bool;
  auto Print(bool aJson) const -> void;

private:
  std::vector<std::pair<std::string, std::string>> m_rows;
  std::vector<std::string> m_failedRequirements;
};

/// An experiment on real processes.
class Scenario
{
public:
  virtual ~Scenario() = default;

  /// A one-line description for --list.
  virtual auto Summary() const -> std::string = 0;

  virtual auto Run(const ScenarioOptions& aOptions, Report& aReport)
    -> void = 0;
};

using ScenarioRegistry = Registry<Scenario>;

/// Executions of the busiest target divided by the mean over aService's
/// targets.
auto Imbalance(Cluster& aCluster, const std::string& aService) -> double;

} // namespace bramleylock::measure
