// Base class of the scenarios with faults between balancers under load, after
// which the membership views of all balancers must converge.
#pragma once

#include "measure/LoadedScenario.h"
#include "measure/Views.h"

namespace bramleylock::measure {

/// Runs a cluster with proxies in front of the peer listeners. The balancers'
/// membership views must agree before the fault and converge again after it.
class MemberFault : public LoadedScenario
{
protected:
  explicit MemberFault(double aSeconds);

  auto Options(const ScenarioOptions& aOptions) const
    -> ClusterOptions override;
  auto Prepare(Cluster& aCluster, Report& aReport) -> void override;
  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override;

  /// Blocks until aSeconds of the load have passed. Meanwhile, counts
  /// balancers' lists that revert to an older revision.
  auto WatchUntil(const ScenarioContext& aContext, double aSeconds) -> void;

  /// Measures how long the views take to converge.
  auto AwaitConvergence(Cluster& aCluster) -> void;

  /// Adds the measured time and requires that it is at most 4 s.
  auto EvaluateConvergence(Report& aReport) const -> void;

  auto Revisions() -> RevisionMonitor&;

private:
  RevisionMonitor m_revisions;
  double m_convergenceSeconds = 0;
};

} // namespace bramleylock::measure
