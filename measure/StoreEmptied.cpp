// Scenario "store-emptied": the store loses every key, once while it is
// available and once during an outage.

#include "measure/EditProbe.h"

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 14;
static constexpr double kWriteBackSeconds = 3;
static constexpr double kOutageSeconds = 1;

namespace {

class StoreEmptied : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the store loses lists and keys, while up and during an outage";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    Cluster cluster(deployment, EditClusterOptions(aOptions));
    cluster.Start();
    EditProbe probe(cluster, deployment);
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.reading, 40, 50, 0, kLoadSeconds, "reading" });
    load.Start();
    EditAllPlans(cluster, probe, aOptions.seed);

    EmptyStore(cluster);
    EditAllPlans(cluster, probe, aOptions.seed + 1);
    SleepSeconds(kWriteBackSeconds);
    CheckStore(cluster, "held_after_emptying", aReport);

    cluster.SetStoreFault({ { "down", true } });
    EmptyStore(cluster);
    SleepSeconds(kOutageSeconds);
    cluster.SetStoreFault(nlohmann::json::object());
    AddReadyBalancer(cluster);
    SleepSeconds(kWriteBackSeconds);
    CheckStore(cluster, "held_after_outage", aReport);
    EditAllPlans(cluster, probe, aOptions.seed + 2);
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    for (const auto* name : { "token_forged", "token_key_unknown" }) {
      aReport.Add(name, cluster.CounterSum(name));
      aReport.Require(std::string(name) + "=0", cluster.CounterSum(name) == 0);
    }
    probe.AddResults(aReport);
  }

private:
  /// Empties the store by restoring a backup that was never saved.
  static auto EmptyStore(Cluster& aCluster) -> void
  {
    aCluster.Control(aCluster.StoreAddress(), "/control/restore", {});
  }

  /// Starts a balancer before the store has lists and keys again.
  static auto AddReadyBalancer(Cluster& aCluster) -> void
  {
    auto& newBalancer =
      aCluster.AddBalancer(aCluster.Balancers()[0].failureDomain);
    aCluster.Publish();
    aCluster.WaitReady(newBalancer);
  }

  static auto EditAllPlans(Cluster& aCluster, EditProbe& aProbe,
                           std::uint64_t aSeed) -> void
  {
    Random random(aSeed);
    auto& balancers = aCluster.Balancers();
    for (const auto& plan : aProbe.Plans()) {
      aProbe.EditAndWait(balancers[random() % balancers.size()], plan);
    }
  }

  static auto CheckStore(Cluster& aCluster, const std::string& aName,
                         Report& aReport) -> void
  {
    const bool held = StoreHasCurrentLists(aCluster);
    aReport.Add(aName, std::uint64_t{ held ? 1U : 0U });
    aReport.Require(aName + "=1", held);
  }
};

const Registration<ScenarioRegistry, StoreEmptied> kRegistration(
  "store-emptied");

} // namespace

} // namespace bramleylock::measure
