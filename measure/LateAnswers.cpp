// Scenario "late-answers": answers come late, twice and out of order.

#include "measure/Scenario.h"

namespace bramleylock::measure {

static constexpr double kSeconds = 8;

namespace {

class LateAnswers : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "answers that come late, twice and crossed";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    cluster.Control(
      cluster.FabricControl(), "/control/fault",
      { { "duplicate", 0.3 }, { "delay", 0.4 }, { "delay_ms", 400 } });
    Load load(cluster.CallerAddress(), aOptions.seed);
    // Many requests of one flow are under way at the same time.
    load.Add({ deployment.booking, 60, 50, 0, seconds, "booking" });
    load.Add({ deployment.reading, 150, 50, 0, seconds, "reading" });
    load.Add({ deployment.bulk, 4, 4, 0, seconds, "bulk" });
    load.Start();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    aReport.Add("stray_answers", load.Stray());
    aReport.Require("stray_answers>0", load.Stray() > 0);
    aReport.Add("packet_stray", cluster.CounterSum("packet_stray"));
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }
};

const Registration<ScenarioRegistry, LateAnswers> kRegistration("late-answers");

} // namespace

} // namespace bramleylock::measure
