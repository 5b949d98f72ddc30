// Scenario "store-cut": one failure domain is cut off from the platform's
// store while the others reach it and the peer links work.

#include "measure/EditProbe.h"

namespace bramleylock::measure {

/// Exceeds the time for which a watcher's last answer counts as fresh.
static constexpr double kCutSeconds = 6;
static constexpr double kHealSeconds = 3;

namespace {

class StoreCut : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the watchers of one failure domain are cut off from the store";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    auto options = EditClusterOptions(aOptions);
    options.proxied = true;
    Cluster cluster(deployment, options);
    cluster.Start();
    EditProbe probe(cluster, deployment);
    const auto& cut = deployment.failureDomains[0];
    auto& inside = BalancerOf(cluster, cut);
    auto& outside = BalancerOf(cluster, deployment.failureDomains[1]);

    cluster.CutStore(cut, true);
    EditAllPlans(outside, probe);
    SleepSeconds(kCutSeconds);
    EditAllPlans(outside, probe);
    const auto& plan = probe.Plans()[0];
    const auto refused = probe.Submit(inside, probe.NextEdit(plan));
    cluster.CutStore(cut, false);
    SleepSeconds(kHealSeconds);
    probe.EditAndWait(inside, plan);

    const auto status = refused.value("status", "none");
    aReport.Add("edit_inside_the_cut", status);
    aReport.Require("edit_inside_the_cut=unavailable", status == "unavailable");
    probe.AddResults(aReport);
  }

private:
  static auto BalancerOf(Cluster& aCluster, const std::string& aFailureDomain)
    -> BalancerProcess&
  {
    auto* found = &aCluster.Balancers()[0];
    for (auto& balancer : aCluster.Balancers()) {
      if (balancer.failureDomain == aFailureDomain) {
        found = &balancer;
      }
    }
    return *found;
  }

  static auto EditAllPlans(BalancerProcess& aThrough, EditProbe& aProbe) -> void
  {
    for (const auto& plan : aProbe.Plans()) {
      aProbe.EditAndWait(aThrough, plan);
    }
  }
};

const Registration<ScenarioRegistry, StoreCut> kRegistration("store-cut");

} // namespace

} // namespace bramleylock::measure
