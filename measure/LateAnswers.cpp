// Scenario "late-answers": answers arrive late, duplicated and out of order.

#include "measure/LoadedScenario.h"

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 8;

namespace {

class LateAnswers : public LoadedScenario
{
public:
  LateAnswers()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "answers that arrive late, duplicated and out of order";
  }

protected:
  auto Prepare(Cluster& aCluster, Report& /*aReport*/) -> void override
  {
    aCluster.SetFabricFault(
      { { "duplicate", 0.3 }, { "delay", 0.4 }, { "delay_ms", 400 } });
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    // Many requests of one flow are in flight at the same time.
    aLoad.Add({ aDeployment.booking, 60, 50, 0, aSeconds, "booking" });
    aLoad.Add({ aDeployment.reading, 150, 50, 0, aSeconds, "reading" });
    aLoad.Add({ aDeployment.bulk, 4, 4, 0, aSeconds, "bulk" });
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    aReport.Add("stray_answers", aContext.load.StrayPackets());
    aReport.Require("stray_answers>0", aContext.load.StrayPackets() > 0);
    AddCounters(aContext.cluster, { "packet_stray" }, aReport);
  }
};

const Registration<ScenarioRegistry, LateAnswers> kRegistration("late-answers");

} // namespace

} // namespace bramleylock::measure
