// Scenario "rolling-replace": every balancer and a third of the targets are
// replaced under short and long flows.

#include "measure/LoadedScenario.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 40;
static constexpr Milliseconds kDrainLimit{ 30000 };

/// How long a leaving target keeps running, so that its work can finish.
static constexpr Milliseconds kTargetLeaveTime{ 5000 };
static constexpr Milliseconds kDrainDelay{ 300 };

/// Delay of every packet, which keeps long answers in flight.
static constexpr int kPacketDelayMs = 10;
static constexpr int kLongAnswerBytes = 2000000;

/// Requests per flow, high enough that a flow lasts for the whole scenario.
static constexpr int kLongFlowRequests = 100000;

namespace {

class RollingReplace : public LoadedScenario
{
public:
  RollingReplace()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "every balancer and a third of the targets replaced under load";
  }

protected:
  auto Prepare(Cluster& aCluster, Report& /*aReport*/) -> void override
  {
    DelayPackets(aCluster, kPacketDelayMs);
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    auto longAnswer = aDeployment.bulk;
    longAnswer.answerBytes = kLongAnswerBytes;
    aLoad.Add({ aDeployment.booking, 30, 5, 0, aSeconds, "booking" });
    aLoad.Add({ aDeployment.reading, 60, 5, 0, aSeconds, "reading" });
    aLoad.Add({ longAnswer, 2, 1, 0, aSeconds, "bulk" });
    for (int i = 0; i < 8; ++i) {
      aLoad.Add({ aDeployment.booking, 3, kLongFlowRequests, 0, aSeconds,
                  "long_booking" });
      aLoad.Add({ aDeployment.reading, 5, kLongFlowRequests, 0, aSeconds,
                  "long_reading" });
    }
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    auto& cluster = aContext.cluster;
    m_balancers = cluster.Balancers().size();
    ReplaceTargets(cluster, aContext.deployment);
    const auto targetsLeavingSince = Clock::now();
    while (m_replaced < m_balancers &&
           aContext.load.Elapsed() < aContext.seconds) {
      m_allStopped = ReplaceBalancer(cluster, m_replaced++) && m_allStopped;
      m_mostInherited =
        std::max(m_mostInherited, cluster.CounterSum("flows_inherited"));
      if (Clock::now() - targetsLeavingSince > kTargetLeaveTime) {
        StopTargets(cluster);
      }
    }
    aContext.load.Join();
    StopTargets(cluster);
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Add("balancers_replaced", m_replaced);
    aReport.Add("targets_replaced", m_replacedTargets);
    aReport.Add("flows_inherited_most", m_mostInherited);
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    aReport.Require("every balancer replaced within the load",
                    m_replaced == m_balancers);
    aReport.Require("every balancer stopped by itself", m_allStopped);
    AddCounters(aContext.cluster,
                { "packets_held", "owner_continued", "hand_over_in_doubt",
                  "hand_over_refused" },
                aReport);
  }

private:
  /// Starts a new balancer, lists it, then drains the old one; returns false
  /// when the old one does not stop within kDrainLimit.
  static auto ReplaceBalancer(Cluster& aCluster, std::size_t aIndex) -> bool
  {
    const auto domain = aCluster.Balancers()[aIndex].failureDomain;
    auto& added = aCluster.AddBalancer(domain);
    aCluster.Publish();
    aCluster.WaitReady(added);
    std::this_thread::sleep_for(kDrainDelay);
    auto& old = aCluster.Balancers()[aIndex];
    old.process->Signal(SIGTERM);
    const bool stopped = old.process->Wait(kDrainLimit);
    old.listed = false;
    old.sprayed = false;
    aCluster.Publish();
    return stopped;
  }

  auto ReplaceTargets(Cluster& aCluster, const Deployment& aDeployment) -> void
  {
    for (const auto& service : aDeployment.services) {
      std::vector<std::size_t> leaving;
      for (std::size_t i = 0; i < aCluster.Targets().size(); ++i) {
        const auto& target = aCluster.Targets()[i];
        if (target.service == service.name &&
            leaving.size() < static_cast<std::size_t>(service.hosts + 2) / 3) {
          leaving.push_back(i);
        }
      }
      for (const auto index : leaving) {
        const auto domain = aCluster.Targets()[index].failureDomain;
        aCluster.AddTarget(service.name, domain);
        aCluster.Targets()[index].leaving = true;
      }
    }
    aCluster.Publish();
  }

  auto StopTargets(Cluster& aCluster) -> void
  {
    for (auto& target : aCluster.Targets()) {
      if (target.leaving && target.listed) {
        target.listed = false;
        aCluster.SaveJournal(target);
        target.process->Signal(SIGTERM);
        ++m_replacedTargets;
      }
    }
    aCluster.Publish();
  }

  std::uint64_t m_balancers = 0;
  std::uint64_t m_replaced = 0;
  std::uint64_t m_replacedTargets = 0;
  std::uint64_t m_mostInherited = 0;
  bool m_allStopped = true;
};

const Registration<ScenarioRegistry, RollingReplace> kRegistration(
  "rolling-replace");

} // namespace

} // namespace bramleylock::measure
