// Common steps of the scenarios with faults between balancers.

#include "measure/MemberFault.h"

#include <thread>

namespace bramleylock::measure {

static constexpr double kAgreementLimitSeconds = 4;
static constexpr double kAgreementTimeoutSeconds = 12;
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
  const auto agreed =
    SecondsUntilAgreed(aCluster, m_revisions, kAgreementTimeoutSeconds);
  aReport.Require("views agree before the fault",
                  agreed < kAgreementTimeoutSeconds);
}

auto MemberFault::AddLoad(Load& aLoad, const Deployment& aDeployment,
                          double aSeconds) const -> void
{
  aLoad.Add({ aDeployment.booking, 60, 5, 0, aSeconds, "booking" });
  aLoad.Add({ aDeployment.reading, 120, 5, 0, aSeconds, "reading" });
}

auto MemberFault::WatchUntil(const Bench& aBench, double aSeconds) -> void
{
  while (aBench.load.Elapsed() < aSeconds) {
    m_revisions.Look(aBench.cluster);
    std::this_thread::sleep_for(kCheckInterval);
  }
}

auto MemberFault::AwaitAgreement(Cluster& aCluster) -> void
{
  m_agreed =
    SecondsUntilAgreed(aCluster, m_revisions, kAgreementTimeoutSeconds);
}

auto MemberFault::JudgeAgreement(Report& aReport) const -> void
{
  aReport.Add("views_agree_s", m_agreed);
  aReport.Require("views_agree_s<=4", m_agreed <= kAgreementLimitSeconds);
}

auto MemberFault::Revisions() -> RevisionWatch&
{
  return m_revisions;
}

} // namespace bramleylock::measure
