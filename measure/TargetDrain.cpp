// Scenario "target-drain": a third of the targets report that they are draining
// before the platform's list shows it.

#include "measure/LoadedScenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 9;
static constexpr double kDrainAtSeconds = 2;
static constexpr double kListedAtSeconds = 7;
static constexpr std::uint64_t kLatestNewWorkMs = 3000;
static constexpr std::size_t kDrainEveryNth = 3;

namespace {

class TargetDrain : public LoadedScenario
{
public:
  TargetDrain()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "a third of the targets drain, reported by them before the list";
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
    aLoad.Add({ aDeployment.bulk, 10, 1, 0, aSeconds, "bulk" });
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    WaitUntil(aContext.load, kDrainAtSeconds);
    for (auto* target : Leaving(aContext.cluster)) {
      aContext.cluster.Control(target->process->Value("target"),
                               "/control/behave", { { "draining", true } });
    }
    m_drainedAt = UnixTimeMs();
    WaitUntil(aContext.load, std::min(kListedAtSeconds, aContext.seconds));
    for (auto* target : Leaving(aContext.cluster)) {
      target->leaving = true;
    }
    aContext.cluster.Publish();
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    AddStartsWhileLeaving(aContext.cluster, m_drainedAt, aReport);
  }

private:
  static auto Leaving(Cluster& aCluster) -> std::vector<TargetProcess*>
  {
    std::vector<TargetProcess*> leaving;
    for (std::size_t i = 0; i < aCluster.Targets().size();
         i += kDrainEveryNth) {
      leaving.push_back(&aCluster.Targets()[i]);
    }
    return leaving;
  }

  static auto AddStartsWhileLeaving(Cluster& aCluster, std::uint64_t aDrainedAt,
                                    Report& aReport) -> void
  {
    std::uint64_t late = 0;
    std::uint64_t latestMs = 0;
    for (auto* target : Leaving(aCluster)) {
      const auto journal = aCluster.Journal(*target);
      for (const auto& run : journal["runs"]) {
        const auto at = run.value("at", std::uint64_t{ 0 });
        const auto after = at > aDrainedAt ? at - aDrainedAt : 0;
        latestMs = std::max(latestMs, after);
        late += after > kLatestNewWorkMs ? 1 : 0;
      }
    }
    aReport.Add("late_new_work", late);
    aReport.Add("latest_new_work_ms", latestMs);
    aReport.Require("late_new_work=0", late == 0);
  }

  std::uint64_t m_drainedAt = 0;
};

const Registration<ScenarioRegistry, TargetDrain> kRegistration("target-drain");

} // namespace

} // namespace bramleylock::measure
