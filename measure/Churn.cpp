// Scenario "churn": one balancer is replaced every second under load.

#include "measure/Scenario.h"
#include "measure/Views.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 14;
static constexpr int kReplacements = 10;
static constexpr double kConvergenceLimitSeconds = 4;
static constexpr double kConvergenceTimeoutSeconds = 12;

/// The first kDrainedReplacements replacements drain the old balancer; the
/// others kill it.
static constexpr int kDrainedReplacements = 7;

namespace {

class Churn : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a balancer replaced every second, some without a drain";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.balancers = aOptions.nodes;
    Cluster cluster(deployment, options);
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.reading, 100, 5, 0, kLoadSeconds, "reading" });
    load.Add({ deployment.booking, 40, 5, 0, kLoadSeconds, "booking" });
    load.Start();
    for (int i = 0; i < kReplacements; ++i) {
      while (load.Elapsed() < 1 + i) {
        std::this_thread::sleep_for(Milliseconds(20));
      }
      Replace(cluster, static_cast<std::size_t>(i), i < kDrainedReplacements);
    }
    RevisionMonitor revisions;
    const auto convergenceSeconds =
      SecondsUntilConverged(cluster, revisions, kConvergenceTimeoutSeconds);
    load.Join();
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    aReport.Add("views_agree_s", convergenceSeconds);
    aReport.Require("views_agree_s<=4",
                    convergenceSeconds <= kConvergenceLimitSeconds);
    for (const auto* name :
         { "member_suspected", "member_died", "member_refuted", "member_damped",
           "member_syncs", "peer_unreachable", "unknown_owner_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto Replace(Cluster& aCluster, std::size_t aIndex, bool aDrain)
    -> void
  {
    const auto domain = aCluster.Balancers()[aIndex].failureDomain;
    aCluster.WaitReady(aCluster.AddBalancer(domain));
    auto& old = aCluster.Balancers()[aIndex];
    old.listed = false;
    old.sprayed = false;
    aCluster.Publish();
    if (aDrain) {
      aCluster.Admin(old, "POST", "/drain");
    } else {
      old.process->Signal(SIGKILL);
    }
  }
};

const Registration<ScenarioRegistry, Churn> kRegistration("churn");

} // namespace

} // namespace bramleylock::measure
