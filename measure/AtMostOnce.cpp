// Scenario "at-most-once": lost, doubled and delayed packets, targets that
// lose answers, and a killed owner.

#include "measure/OwnerFaults.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 12;
static constexpr double kTargetsLoseAt = 2;
static constexpr double kTargetsKeepAt = 6;
static constexpr double kCrashAt = 7;
static constexpr int kFlows = 16;

namespace {

class AtMostOnce : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "bookings over faulty packets, lost answers and a crash";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    cluster.Control(cluster.FabricControl(), "/control/fault",
                    { { "loss", 0.05 },
                      { "duplicate", 0.2 },
                      { "delay", 0.2 },
                      { "delay_ms", 250 } });
    Load load(cluster.CallerAddress(), aOptions.seed);
    // Each label has one flow open at a time, so there are several.
    for (int i = 0; i < kFlows; ++i) {
      load.Add({ deployment.booking, 10, 10, 0, seconds, "booking" });
    }
    load.Add({ deployment.reading, 50, 5, 0, seconds, "reading" });
    load.Start();
    Wait(load, kTargetsLoseAt);
    LoseAnswers(cluster, deployment.booking.service, true);
    Wait(load, kTargetsKeepAt);
    LoseAnswers(cluster, deployment.booking.service, false);
    Wait(load, kCrashAt);
    auto& killed = cluster.Balancers().front();
    killed.process->Signal(SIGKILL);
    killed.sprayed = false;
    killed.listed = false;
    cluster.Publish();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    AddRepeatable(load.Records(), aReport);
    aReport.Add("packet_duplicate", cluster.CounterSum("packet_duplicate"));
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  /// Repeatable work can always go to a target that keeps its answers.
  static auto AddRepeatable(
    const std::map<std::string, std::vector<Record>>& aRecords, Report& aReport)
    -> void
  {
    std::uint64_t unknown = 0;
    for (const auto& record : aRecords.at("reading")) {
      unknown += record.outcome == caller::CallOutcome::Unknown ? 1 : 0;
    }
    aReport.Add("repeatable_unknown", unknown);
    aReport.Require("repeatable_unknown=0", unknown == 0);
  }

  static auto Wait(const Load& aLoad, double aSeconds) -> void
  {
    while (aLoad.Elapsed() < aSeconds) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  /// Every third target of aService drops connections after it ran the work.
  static auto LoseAnswers(Cluster& aCluster, const std::string& aService,
                          bool aLose) -> void
  {
    std::size_t index = 0;
    for (auto& target : aCluster.Targets()) {
      if (target.service == aService && index++ % 3 == 0) {
        aCluster.Control(target.process->Value("target"), "/control/behave",
                         { { "lose_answers", aLose } });
      }
    }
  }
};

const Registration<ScenarioRegistry, AtMostOnce> kRegistration("at-most-once");

} // namespace

} // namespace bramleylock::measure
