// Scenarios that do something to a cluster under a load and then check what
// came back.
#pragma once

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// What a scenario runs on.
struct Bench
{
  const Deployment& deployment;
  /// Length of the load.
  double seconds;
  Cluster& cluster;
  Load& load;
};

/// Starts a cluster and a load, and adds the checks that every scenario needs.
/// What differs is in the virtual methods, in the order in which they run.
class LoadedScenario : public Scenario
{
public:
  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override;

protected:
  /// A load of aSeconds, unless the command line says otherwise.
  explicit LoadedScenario(double aSeconds);

  /// Options of the cluster; by default those of the command line.
  virtual auto Options(const ScenarioOptions& aOptions) const -> ClusterOptions;

  /// Faults that are there from the beginning.
  virtual auto Prepare(Cluster& aCluster, Report& aReport) -> void;

  virtual auto AddLoad(Load& aLoad, const Deployment& aDeployment,
                       double aSeconds) const -> void = 0;

  /// What happens while the load runs.
  virtual auto During(const Bench& aBench, Report& aReport) -> void;

  /// Judges the run after the load has ended.
  virtual auto Judge(const Bench& aBench, const Checks& aChecks,
                     Report& aReport) -> void = 0;

private:
  double m_seconds;
};

/// Options that leave the command line's number of nodes out, for scenarios
/// that do not scale.
auto FixedSize(const ScenarioOptions& aOptions) -> ClusterOptions;

/// Blocks until aSeconds of the load have passed.
auto WaitUntil(const Load& aLoad, double aSeconds) -> void;

/// Delays every packet between callers and balancers.
auto DelayPackets(Cluster& aCluster, int aMilliseconds) -> void;

/// Adds the sums of counters over the running balancers.
auto AddCounters(Cluster& aCluster, const std::vector<const char*>& aNames,
                 Report& aReport) -> void;

} // namespace bramleylock::measure
