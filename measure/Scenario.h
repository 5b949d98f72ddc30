// Scenarios register themselves by name.
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
  /// Length of the load; 0 takes the scenario's own.
  double seconds = 0;
  /// Daemons, for scenarios that scale; 0 takes the scenario's own.
  int nodes = 0;
  const Deployment* deployment = nullptr;
};

/// Results in the order in which they were added, and the verdict.
class Report
{
public:
  auto Add(const std::string& aKey, const std::string& aValue) -> void;
  auto Add(const std::string& aKey, double aValue) -> void;
  auto Add(const std::string& aKey, std::uint64_t aValue) -> void;

  /// Adds a check that must hold; the report says which did not.
  auto Require(const std::string& aWhat, bool aHolds) -> void;

  /// Adds the counts of aChecks, and requires that no answer was wrong, no
  /// request ran twice and no "not run" was false.
  auto AddChecks(const Checks& aChecks) -> void;

  /// Adds the median and 99th percentile of each label.
  auto AddLatencies(const std::map<std::string, std::vector<Record>>& aRecords)
    -> void;

  /// Adds how many requests of each label ended without an answer, by reason.
  auto AddReasons(const std::map<std::string, std::vector<Record>>& aRecords)
    -> void;

  auto Held() const -> bool;
  auto Print(bool aJson) const -> void;

private:
  std::vector<std::pair<std::string, std::string>> m_rows;
  std::vector<std::string> m_broken;
};

/// One experiment on real processes.
class Scenario
{
public:
  virtual ~Scenario() = default;

  /// One line for --list.
  virtual auto Summary() const -> std::string = 0;

  virtual auto Run(const ScenarioOptions& aOptions, Report& aReport)
    -> void = 0;
};

using ScenarioRegistry = Registry<Scenario>;

/// Busiest target's runs over the mean of aService's targets.
auto Imbalance(Cluster& aCluster, const std::string& aService) -> double;

} // namespace bramleylock::measure
