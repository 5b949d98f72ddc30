// Scenario "soak": concurrent faults of every kind under load with floods, with
// all checks enabled.

#include "measure/SoakFaults.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 120;
/// Fault-free period at the end, in which normal operation must resume.
static constexpr double kFaultFreeSeconds = 6;
static constexpr double kConvergenceLimitSeconds = 4;
static constexpr double kConvergenceTimeoutSeconds = 12;

namespace {

auto AddLoad(Load& aLoad, const Deployment& aDeployment, double aSeconds)
  -> void
{
  aLoad.Add({ aDeployment.booking, 60, 5, 0, aSeconds, "booking" });
  aLoad.Add({ aDeployment.reading, 120, 5, 0, aSeconds, "reading" });
  aLoad.Add({ aDeployment.bulk, 4, 1, 0, aSeconds, "bulk" });
  // The least urgent flood comes first, then the most urgent one, and later
  // both together.
  const auto slice = aSeconds / 10;
  aLoad.Add({ aDeployment.bulk, 80, 1, slice, 2 * slice, "flood_bulk" });
  aLoad.Add(
    { aDeployment.booking, 1500, 5, 3 * slice, 4 * slice, "flood_booking" });
  aLoad.Add({ aDeployment.bulk, 80, 1, 6 * slice, 7 * slice, "flood_bulk" });
  aLoad.Add(
    { aDeployment.booking, 1500, 5, 6 * slice, 7 * slice, "flood_booking" });
}

class Soak : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "edits, drains, crashes, pauses, cuts, silent connections, outages "
           "and floods together";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.proxied = true;
    options.proxyTargets = true;
    Cluster cluster(deployment, options);
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    AddLoad(load, deployment, seconds);
    SoakFaults faults(cluster, deployment, load, aOptions.seed);
    const auto startedAt = UnixTimeMs();
    load.Start();
    faults.Run(seconds - kFaultFreeSeconds);
    load.Join();
    faults.AwaitStops();
    AddState(faults, aReport);
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    AddUnknownCauses(load.Records(), faults.Log(), cluster, aReport);
    AddStartsWhileLeaving(faults.Log(), cluster, aReport);
    AddStartsPastDeadline(load.Records(), deployment, startedAt, cluster,
                          aReport);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  /// Checks the state of the balancers after the last event.
  static auto AddState(SoakFaults& aFaults, Report& aReport) -> void
  {
    const double agreed =
      aFaults.ConvergenceSeconds(kConvergenceTimeoutSeconds);
    const double spread = aFaults.Edits().PropagationSeconds();
    auto counts = aFaults.Counts();
    for (const auto& [name, count] : counts) {
      aReport.Add("events_" + name, count);
    }
    aReport.Add("edits_accepted", aFaults.Edits().Accepted());
    aReport.Add("reverted", aFaults.Reverted());
    aReport.Add("spread_s", spread);
    aReport.Add("views_agree_s", agreed);
    aReport.Require("reverted=0", aFaults.Reverted() == 0);
    aReport.Require("spread_s<=4", spread >= 0);
    aReport.Require("views_agree_s<=4", agreed <= kConvergenceLimitSeconds);
    aReport.Require("drain_too_long=0", counts["drain_too_long"] == 0);
    aReport.Require("a failure domain that is cut off continues to serve",
                    counts["cuts_served"] == counts["cuts_watched"]);
  }
};

const Registration<ScenarioRegistry, Soak> kRegistration("soak");

} // namespace

} // namespace bramleylock::measure
