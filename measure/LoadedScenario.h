// Base class of the scenarios that inject faults or changes into a cluster
// under load and then check the results.
#pragma once

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// The environment of a running scenario.
struct ScenarioContext
{
  const Deployment& deployment;
  /// Length of the load.
  double seconds;
  Cluster& cluster;
  Load& load;
};

/// Starts a cluster and a load, and adds the checks that all scenarios share.
/// The virtual methods are declared in the order in which they are called.
class LoadedScenario : public Scenario
{
public:
  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override;

protected:
  /// Runs the load for aSeconds, unless the command line sets another length.
  explicit LoadedScenario(double aSeconds);

  /// Options of the cluster; the default takes the seed and the number of nodes
  /// from the command line.
  virtual auto Options(const ScenarioOptions& aOptions) const -> ClusterOptions;

  /// Prepares the cluster before the load starts, for example with faults that
  /// last for the whole run.
  virtual auto Prepare(Cluster& aCluster, Report& aReport) -> void;

  virtual auto AddLoad(Load& aLoad, const Deployment& aDeployment,
                       double aSeconds) const -> void = 0;

  /// Injects faults or changes while the load runs.
  virtual auto RunDuringLoad(const ScenarioContext& aContext, Report& aReport)
    -> void;

  /// Adds the scenario's results and requirements after the load has ended.
  virtual auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                        Report& aReport) -> void = 0;

private:
  double m_seconds;
};

/// Options that ignore the number of nodes of the command line, for scenarios
/// with a fixed fleet size.
auto FixedSizeOptions(const ScenarioOptions& aOptions) -> ClusterOptions;

/// Blocks until aSeconds of the load have passed.
auto WaitUntil(const Load& aLoad, double aSeconds) -> void;

/// Delays every packet between callers and balancers.
auto DelayPackets(Cluster& aCluster, int aMilliseconds) -> void;

/// Adds the sums of counters over the running balancers.
auto AddCounters(Cluster& aCluster, const std::vector<const char*>& aNames,
                 Report& aReport) -> void;

} // namespace bramleylock::measure
