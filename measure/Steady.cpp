// Scenario "steady": every kind of work well below capacity.

#include "measure/Scenario.h"

namespace bramleylock::measure {

static constexpr double kSeconds = 8;
static constexpr double kImbalanceLimit = 1.25;

namespace {

class Steady : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "every kind of work below capacity, packets sprayed";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, 0, 0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 150, 5, 0, seconds, "booking" });
    load.Add({ deployment.reading, 300, 5, 0, seconds, "reading" });
    load.Add({ deployment.bulk, 10, 1, 0, seconds, "bulk" });
    load.Start();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    const auto imbalance = Imbalance(cluster, deployment.reading.service);
    aReport.Add("imbalance", imbalance);
    aReport.Require("imbalance<=1.25", imbalance <= kImbalanceLimit);
    for (const auto* name :
         { "packets_forwarded", "packet_duplicate", "packet_stray",
           "parts_resent", "peer_link_lost", "retry_target_shed" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }
};

const Registration<ScenarioRegistry, Steady> kRegistration("steady");

} // namespace

} // namespace bramleylock::measure
