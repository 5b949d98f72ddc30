// Common steps of the scenarios with faults between balancers.

#include "measure/MemberFault.h"

#include <thread>

namespace bramleylock::measure {

static constexpr double kConvergenceLimitSeconds = 4;
static constexpr double kConvergenceTimeoutSeconds = 12;
static constexpr Milliseconds kCheckInterval{ 100 };

MemberFault::MemberFault(double aSeconds)
  : LoadedScenario(aSeconds)
{
}

auto MemberFault::Options(const ScenarioOptions& aOptions) const
  -> ClusterOptions
{
  ClusterOptions options;
  options.seed = aOptions.seed;
  options.proxied = true;
  return options;
}

auto MemberFault::Prepare(Cluster& aCluster, Report& aReport) -> void
{
  const auto convergenceSeconds =
    SecondsUntilConverged(aCluster, m_revisions, kConvergenceTimeoutSeconds);
  aReport.Require("views agree before the fault",
                  convergenceSeconds < kConvergenceTimeoutSeconds);
}

auto MemberFault::AddLoad(Load& aLoad, const Deployment& aDeployment,
                          double aSeconds) const -> void
{
  aLoad.Add({ aDeployment.booking, 60, 5, 0, aSeconds, "booking" });
  aLoad.Add({ aDeployment.reading, 120, 5, 0, aSeconds, "reading" });
}

auto MemberFault::WatchUntil(const ScenarioContext& aContext, double aSeconds)
  -> void
{
  while (aContext.load.Elapsed() < aSeconds) {
    m_revisions.Poll(aContext.cluster);
    std::this_thread::sleep_for(kCheckInterval);
  }
}

auto MemberFault::AwaitConvergence(Cluster& aCluster) -> void
{
  m_convergenceSeconds =
    SecondsUntilConverged(aCluster, m_revisions, kConvergenceTimeoutSeconds);
}

auto MemberFault::EvaluateConvergence(Report& aReport) const -> void
{
  aReport.Add("views_agree_s", m_convergenceSeconds);
  aReport.Require("views_agree_s<=4",
                  m_convergenceSeconds <= kConvergenceLimitSeconds);
}

auto MemberFault::Revisions() -> RevisionMonitor&
{
  return m_revisions;
}

} // namespace bramleylock::measure
