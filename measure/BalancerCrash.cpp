// Scenario "balancer-crash": owners are killed under load.

#include "measure/OwnerFaults.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 14;
static constexpr double kFirstCrash = 3;
static constexpr double kBetweenCrashes = 4;
static constexpr int kCrashes = 2;
static constexpr int kFlows = 16;

/// How long the fabric goes on spraying over a dead balancer.
static constexpr Milliseconds kFabricLag{ 1000 };
static constexpr int kDelayMs = 10;
static constexpr int kLongAnswerBytes = 2000000;

namespace {

class BalancerCrash : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "owners killed under load";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    cluster.Control(cluster.FabricControl(), "/control/fault",
                    { { "delay", 1.0 }, { "delay_ms", kDelayMs } });
    auto longAnswer = deployment.bulk;
    longAnswer.answerBytes = kLongAnswerBytes;
    Load load(cluster.CallerAddress(), aOptions.seed);
    // Each label has one flow open at a time, so there are several.
    for (int i = 0; i < kFlows; ++i) {
      load.Add({ deployment.booking, 5, 10, 0, seconds, "booking" });
      load.Add({ deployment.reading, 8, 10, 0, seconds, "reading" });
    }
    load.Add({ longAnswer, 3, 1, 0, seconds, "bulk" });
    load.Start();
    std::vector<OwnerFault> faults;
    for (int i = 0; i < kCrashes; ++i) {
      WaitUntil(load, kFirstCrash + i * kBetweenCrashes);
      faults.push_back(Kill(cluster, load, i));
    }
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    AddOwnerFaults(load.Records(), faults, aReport);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto WaitUntil(const Load& aLoad, double aSeconds) -> void
  {
    while (aLoad.Elapsed() < aSeconds) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  static auto Kill(Cluster& aCluster, const Load& aLoad, int aIndex)
    -> OwnerFault
  {
    auto& balancer = aCluster.Balancers()[static_cast<std::size_t>(aIndex)];
    const auto now = aLoad.Elapsed();
    balancer.process->Signal(SIGKILL);
    std::this_thread::sleep_for(kFabricLag);
    balancer.sprayed = false;
    balancer.listed = false;
    aCluster.Publish();
    return { balancer.process->Value("peers"), now, now };
  }
};

const Registration<ScenarioRegistry, BalancerCrash> kRegistration(
  "balancer-crash");

} // namespace

} // namespace bramleylock::measure
