// Faults between balancers, under load, after which all views must agree.
#pragma once

#include "measure/LoadedScenario.h"
#include "measure/Views.h"

namespace bramleylock::measure {

/// A cluster with proxies before its peer listeners, whose views agree before
/// the fault and have to agree again after it.
class MemberFault : public LoadedScenario
{
protected:
  explicit MemberFault(double aSeconds);

  auto Options(const ScenarioOptions& aOptions) const
    -> ClusterOptions override;
  auto Prepare(Cluster& aCluster, Report& aReport) -> void override;
  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override;

  /// Blocks until aSeconds of the load have passed, and watches the revisions.
  auto WatchUntil(const Bench& aBench, double aSeconds) -> void;

  /// Measures how long the views take to agree again.
  auto AwaitAgreement(Cluster& aCluster) -> void;

  /// Adds that time and requires that it is short.
  auto JudgeAgreement(Report& aReport) const -> void;

  auto Revisions() -> RevisionWatch&;

private:
  RevisionWatch m_revisions;
  double m_agreed = 0;
};

} // namespace bramleylock::measure
