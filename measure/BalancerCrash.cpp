// Scenario "balancer-crash": balancers that own flows are killed under load.

#include "measure/LoadedScenario.h"
#include "measure/OwnerFaults.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 14;
static constexpr double kFirstCrashSeconds = 3;
static constexpr double kCrashIntervalSeconds = 4;
static constexpr int kCrashes = 2;
static constexpr int kFlows = 16;

/// How long the fabric continues to send packets to a dead balancer.
static constexpr Milliseconds kFabricUpdateDelay{ 1000 };
static constexpr int kPacketDelayMs = 10;
static constexpr int kLongAnswerBytes = 2000000;

namespace {

class BalancerCrash : public LoadedScenario
{
public:
  BalancerCrash()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "balancers that own flows killed under load";
  }

protected:
  auto Prepare(Cluster& aCluster, Report& /*aReport*/) -> void override
  {
    DelayPackets(aCluster, kPacketDelayMs);
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    // Each load specification has one flow open at a time, so several of them
    // give several concurrent flows.
    for (int i = 0; i < kFlows; ++i) {
      aLoad.Add({ aDeployment.booking, 5, 10, 0, aSeconds, "booking" });
      aLoad.Add({ aDeployment.reading, 8, 10, 0, aSeconds, "reading" });
    }
    auto longAnswer = aDeployment.bulk;
    longAnswer.answerBytes = kLongAnswerBytes;
    aLoad.Add({ longAnswer, 3, 1, 0, aSeconds, "bulk" });
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    for (int i = 0; i < kCrashes; ++i) {
      WaitUntil(aContext.load, kFirstCrashSeconds + i * kCrashIntervalSeconds);
      m_faults.push_back(Kill(aContext.cluster, aContext.load, i));
    }
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    AddOwnerFaults(aContext.load.Records(), m_faults, aReport);
  }

private:
  static auto Kill(Cluster& aCluster, const Load& aLoad, int aIndex)
    -> OwnerFault
  {
    auto& balancer = aCluster.Balancers()[static_cast<std::size_t>(aIndex)];
    const auto now = aLoad.Elapsed();
    balancer.process->Signal(SIGKILL);
    std::this_thread::sleep_for(kFabricUpdateDelay);
    balancer.sprayed = false;
    balancer.listed = false;
    aCluster.Publish();
    return { balancer.process->Value("peers"), now, now };
  }

  std::vector<OwnerFault> m_faults;
};

const Registration<ScenarioRegistry, BalancerCrash> kRegistration(
  "balancer-crash");

} // namespace

} // namespace bramleylock::measure
