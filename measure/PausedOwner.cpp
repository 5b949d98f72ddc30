// Scenario "paused-owner": owners are suspended beyond every timeout and
// resumed.

#include "measure/LoadedScenario.h"
#include "measure/OwnerFaults.h"

#include <csignal>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 16;
static constexpr double kPauseAtSeconds = 3;

/// Exceeds the limits for heartbeats and link silence and the deadlines of
/// short work.
static constexpr double kPauseSeconds = 7;
static constexpr std::size_t kPausedOwners = 2;
static constexpr int kFlows = 16;

namespace {

class PausedOwner : public LoadedScenario
{
public:
  PausedOwner()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "owners are suspended beyond every timeout and resumed";
  }

protected:
  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    // Each load specification has one flow open at a time, so several are
    // added.
    for (int i = 0; i < kFlows; ++i) {
      aLoad.Add({ aDeployment.booking, 6, 10, 0, aSeconds, "booking" });
      aLoad.Add({ aDeployment.reading, 8, 10, 0, aSeconds, "reading" });
    }
    aLoad.Add({ aDeployment.bulk, 3, 1, 0, aSeconds, "bulk" });
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    WaitUntil(aContext.load, kPauseAtSeconds);
    auto& balancers = aContext.cluster.Balancers();
    for (std::size_t i = 0; i < kPausedOwners; ++i) {
      auto& process = *balancers[i].process;
      process.Signal(SIGSTOP);
      m_faults.push_back({ process.Value("peers"), kPauseAtSeconds,
                           kPauseAtSeconds + kPauseSeconds });
    }
    WaitUntil(aContext.load, kPauseAtSeconds + kPauseSeconds);
    for (std::size_t i = 0; i < kPausedOwners; ++i) {
      balancers[i].process->Signal(SIGCONT);
    }
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    AddOwnerFaults(aContext.load.Records(), m_faults, aReport);
    const auto noticed = aContext.cluster.CounterSum("pause_noticed");
    aReport.Add("pause_noticed", noticed);
    aReport.Require("every pause noticed", noticed >= kPausedOwners);
    AddCounters(aContext.cluster, { "packet_stale" }, aReport);
  }

private:
  std::vector<OwnerFault> m_faults;
};

const Registration<ScenarioRegistry, PausedOwner> kRegistration("paused-owner");

} // namespace

} // namespace bramleylock::measure
