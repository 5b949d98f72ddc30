// Scenario "at-most-once": at-most-once requests under packet loss, duplication
// and delay, with targets that lose answers and an owner that is killed.

#include "measure/LoadedScenario.h"

#include <csignal>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 12;
static constexpr double kAnswerLossStartSeconds = 2;
static constexpr double kAnswerLossEndSeconds = 6;
static constexpr double kCrashAtSeconds = 7;
static constexpr int kFlows = 16;

namespace {

class AtMostOnce : public LoadedScenario
{
public:
  AtMostOnce()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "at-most-once requests under packet faults, lost answers and a "
           "crash";
  }

protected:
  auto Prepare(Cluster& aCluster, Report& /*aReport*/) -> void override
  {
    aCluster.SetFabricFault({ { "loss", 0.05 },
                              { "duplicate", 0.2 },
                              { "delay", 0.2 },
                              { "delay_ms", 250 } });
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    // Each load specification has one flow open at a time, so several of them
    // give several concurrent flows.
    for (int i = 0; i < kFlows; ++i) {
      aLoad.Add({ aDeployment.booking, 10, 10, 0, aSeconds, "booking" });
    }
    aLoad.Add({ aDeployment.reading, 50, 5, 0, aSeconds, "reading" });
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    auto& cluster = aContext.cluster;
    const auto& service = aContext.deployment.booking.service;
    WaitUntil(aContext.load, kAnswerLossStartSeconds);
    SetAnswerLoss(cluster, service, true);
    WaitUntil(aContext.load, kAnswerLossEndSeconds);
    SetAnswerLoss(cluster, service, false);
    WaitUntil(aContext.load, kCrashAtSeconds);
    auto& killed = cluster.Balancers().front();
    killed.process->Signal(SIGKILL);
    killed.sprayed = false;
    killed.listed = false;
    cluster.Publish();
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    RequireNoRepeatableUnknown(aContext.load.Records(), aReport);
    AddCounters(aContext.cluster, { "packet_duplicate" }, aReport);
  }

private:
  /// Repeatable requests can always be retried at a target that does not lose
  /// answers, so none may end with an unknown outcome.
  static auto RequireNoRepeatableUnknown(
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

  /// Makes every third target of aService drop the connection after it has
  /// executed a request, or ends this fault.
  static auto SetAnswerLoss(Cluster& aCluster, const std::string& aService,
                            bool aActive) -> void
  {
    std::size_t index = 0;
    for (auto& target : aCluster.Targets()) {
      if (target.service == aService && index++ % 3 == 0) {
        aCluster.Control(target.process->Value("target"), "/control/behave",
                         { { "lose_answers", aActive } });
      }
    }
  }
};

const Registration<ScenarioRegistry, AtMostOnce> kRegistration("at-most-once");

} // namespace

} // namespace bramleylock::measure
