// Scenario "steady": every kind of work well below capacity.

#include "measure/LoadedScenario.h"

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 8;
static constexpr double kImbalanceLimit = 1.25;

namespace {

class Steady : public LoadedScenario
{
public:
  Steady()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "every kind of work below capacity, packets sprayed";
  }

protected:
  auto Options(const ScenarioOptions& aOptions) const -> ClusterOptions override
  {
    return FixedSizeOptions(aOptions);
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    aLoad.Add({ aDeployment.booking, 150, 5, 0, aSeconds, "booking" });
    aLoad.Add({ aDeployment.reading, 300, 5, 0, aSeconds, "reading" });
    aLoad.Add({ aDeployment.bulk, 10, 1, 0, aSeconds, "bulk" });
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    const auto imbalance =
      Imbalance(aContext.cluster, aContext.deployment.reading.service);
    aReport.Add("imbalance", imbalance);
    aReport.Require("imbalance<=1.25", imbalance <= kImbalanceLimit);
    AddCounters(aContext.cluster,
                { "packets_forwarded", "packet_duplicate", "packet_stray",
                  "parts_resent", "peer_link_lost", "retry_target_shed" },
                aReport);
  }
};

const Registration<ScenarioRegistry, Steady> kRegistration("steady");

} // namespace

} // namespace bramleylock::measure
