// Scenario "lying-health": hosts report the opposite of their true health and
// load. This must neither direct all work to one host nor leave others without
// work.

#include "measure/LoadedScenario.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 9;
static constexpr double kMisreportAtSeconds = 1;
static constexpr double kImbalanceLimit = 1.25;
static constexpr int kExtraMs = 100;

namespace {

class LyingHealth : public LoadedScenario
{
public:
  LyingHealth()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "a shedding and a slow host report health, all others report "
           "failure";
  }

protected:
  auto Options(const ScenarioOptions& aOptions) const -> ClusterOptions override
  {
    return FixedSizeOptions(aOptions);
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    aLoad.Add({ aDeployment.booking, 100, 5, 0, aSeconds, "booking" });
    aLoad.Add({ aDeployment.reading, 200, 5, 0, aSeconds, "reading" });
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    WaitUntil(aContext.load, kMisreportAtSeconds);
    MisreportHealth(aContext.cluster, aContext.deployment.reading.service);
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    aReport.Require("refused=0", aChecks.refused == 0);
    AddShares(aContext.cluster, aContext.deployment.reading.service, aReport);
    AddCounters(aContext.cluster, { "retry_target_shed", "target_ejected" },
                aReport);
  }

private:
  /// Makes the first host shed and the second slow, which both claim to be
  /// healthy and idle. The other hosts work and claim the opposite.
  static auto MisreportHealth(Cluster& aCluster, const std::string& aService)
    -> void
  {
    int index = 0;
    for (auto& target : aCluster.Targets()) {
      if (target.service != aService) {
        continue;
      }
      nlohmann::json behaviour{ { "claim_healthy", index < 2 },
                                { "claim_load", index < 2 ? 0.0 : 9.0 },
                                { "shed_all", index == 0 },
                                { "extra_ms", index == 1 ? kExtraMs : 0 } };
      aCluster.Control(target.process->Value("target"), "/control/behave",
                       behaviour);
      ++index;
    }
  }

  static auto AddShares(Cluster& aCluster, const std::string& aService,
                        Report& aReport) -> void
  {
    std::vector<double> honestRuns;
    std::uint64_t sheds = 0;
    double slowHostRuns = 0;
    int index = 0;
    for (auto& target : aCluster.Targets()) {
      if (target.service != aService) {
        continue;
      }
      const auto journal = aCluster.Journal(target);
      const auto runs = static_cast<double>(journal["runs"].size());
      sheds += journal.value("shed", std::uint64_t{ 0 });
      if (index >= 2) {
        honestRuns.push_back(runs);
      } else if (index == 1) {
        slowHostRuns = runs;
      }
      ++index;
    }
    double mean = 0;
    for (const auto runs : honestRuns) {
      mean += runs / static_cast<double>(honestRuns.size());
    }
    const auto [least, most] =
      std::minmax_element(honestRuns.begin(), honestRuns.end());
    aReport.Add("sheds", sheds);
    aReport.Add("busiest_honest_over_mean", *most / mean);
    aReport.Add("idlest_honest_over_mean", *least / mean);
    aReport.Add("slow_liar_over_mean", slowHostRuns / mean);
    aReport.Require("shedding host gets under half its share",
                    static_cast<double>(sheds) < mean / 2);
    aReport.Require("busiest_honest<=1.25", *most / mean <= kImbalanceLimit);
    aReport.Require("slow_liar<=1.25", slowHostRuns / mean <= kImbalanceLimit);
    aReport.Require("every honest host runs requests", *least > 0);
  }
};

const Registration<ScenarioRegistry, LyingHealth> kRegistration("lying-health");

} // namespace

} // namespace bramleylock::measure
