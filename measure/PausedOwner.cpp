// Scenario "paused-owner": owners are stopped past every timeout and go on.

#include "measure/OwnerFaults.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 16;
static constexpr double kPauseAt = 3;

/// Longer than heartbeats, deadlines of short work and link silence allow.
static constexpr double kPauseSeconds = 7;
static constexpr std::size_t kPaused = 2;
static constexpr int kFlows = 16;

namespace {

class PausedOwner : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "owners stopped past every timeout that go on later";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    // Each label has one flow open at a time, so there are several.
    for (int i = 0; i < kFlows; ++i) {
      load.Add({ deployment.booking, 6, 10, 0, seconds, "booking" });
      load.Add({ deployment.reading, 8, 10, 0, seconds, "reading" });
    }
    load.Add({ deployment.bulk, 3, 1, 0, seconds, "bulk" });
    load.Start();
    Wait(load, kPauseAt);
    std::vector<OwnerFault> faults;
    for (std::size_t i = 0; i < kPaused; ++i) {
      auto& process = *cluster.Balancers()[i].process;
      process.Signal(SIGSTOP);
      faults.push_back(
        { process.Value("peers"), kPauseAt, kPauseAt + kPauseSeconds });
    }
    Wait(load, kPauseAt + kPauseSeconds);
    for (std::size_t i = 0; i < kPaused; ++i) {
      cluster.Balancers()[i].process->Signal(SIGCONT);
    }
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    AddOwnerFaults(load.Records(), faults, aReport);
    const auto noticed = cluster.CounterSum("pause_noticed");
    aReport.Add("pause_noticed", noticed);
    aReport.Require("every pause noticed", noticed >= kPaused);
    aReport.Add("packet_stale", cluster.CounterSum("packet_stale"));
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto Wait(const Load& aLoad, double aSeconds) -> void
  {
    while (aLoad.Elapsed() < aSeconds) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }
};

const Registration<ScenarioRegistry, PausedOwner> kRegistration("paused-owner");

} // namespace

} // namespace bramleylock::measure
