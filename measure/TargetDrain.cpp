// Scenario "target-drain": a third of the targets say that they are leaving
// while the platform's list lags behind.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 9;
static constexpr double kDrainAt = 2;
static constexpr double kListedAt = 7;
static constexpr std::uint64_t kLatestNewWorkMs = 3000;
static constexpr std::size_t kDrainEach = 3;

namespace {

class TargetDrain : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a third of the targets drain, told by themselves before the list";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, 0, 0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 100, 5, 0, seconds, "booking" });
    load.Add({ deployment.reading, 200, 5, 0, seconds, "reading" });
    load.Add({ deployment.bulk, 10, 1, 0, seconds, "bulk" });
    load.Start();
    WaitUntil(load, kDrainAt);
    for (auto* target : Leaving(cluster)) {
      cluster.Control(target->process->Value("target"), "/control/behave",
                      { { "draining", true } });
    }
    const auto drainedAt = WallMilliseconds();
    WaitUntil(load, std::min(kListedAt, seconds));
    for (auto* target : Leaving(cluster)) {
      target->leaving = true;
    }
    cluster.Publish();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    AddLateWork(cluster, drainedAt, aReport);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto WaitUntil(const Load& aLoad, double aSeconds) -> void
  {
    std::this_thread::sleep_for(
      std::chrono::duration<double>(aSeconds - aLoad.Elapsed()));
  }

  static auto Leaving(Cluster& aCluster) -> std::vector<TargetProcess*>
  {
    std::vector<TargetProcess*> leaving;
    for (std::size_t i = 0; i < aCluster.Targets().size(); i += kDrainEach) {
      leaving.push_back(&aCluster.Targets()[i]);
    }
    return leaving;
  }

  static auto AddLateWork(Cluster& aCluster, std::uint64_t aDrainedAt,
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
};

const Registration<ScenarioRegistry, TargetDrain> kRegistration("target-drain");

} // namespace

} // namespace bramleylock::measure
