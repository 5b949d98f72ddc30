// Scenario "plan-limits-cut": two plans offer more than their limits while a
// failure domain is cut off, a balancer joins and another is killed.

#include "measure/PlanLimitsUse.h"
#include "measure/Scenario.h"

#include "bramleylock/Admission/AllowanceAllocation.h"

#include <fmt/format.h>

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLimitPerSecond = 60;
static constexpr double kOfferedPerSecond = 180;
static constexpr std::uint32_t kConcurrencyLimit = 4;
static constexpr double kBulkPerSecond = 120;
static constexpr int kBulkWorkMs = 200;
static constexpr int kBulkAnswerBytes = 900;
static constexpr double kCutAtSeconds = 3;
static constexpr double kJoinAtSeconds = 5;
static constexpr double kKillAtSeconds = 7;
static constexpr double kHealAtSeconds = 10;
static constexpr double kLoadSeconds = 14;
static constexpr double kWindowSeconds = 3;
static constexpr double kPeriodSeconds =
  static_cast<double>(admission::kAllowancePeriodMs) / 1000;

namespace {

class PlanLimitsCut : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "plans beyond their limits while a failure domain is cut off";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    auto deployment = *aOptions.deployment;
    auto& plans = deployment.lists.plans;
    plans[deployment.reading.plan].ratePerSecond = kLimitPerSecond;
    plans[deployment.bulk.plan].concurrency = kConcurrencyLimit;
    for (const auto* sharing : { "static", "transfer" }) {
      RunSharingPolicy(sharing, deployment, aOptions.seed, aReport);
    }
  }

private:
  static auto RunSharingPolicy(const std::string& aSharing,
                               const Deployment& aDeployment,
                               std::uint64_t aSeed, Report& aReport) -> void
  {
    ClusterOptions options;
    options.seed = aSeed;
    options.proxied = true;
    options.settings["plugins"] =
      fmt::format("plan_limits = \"{}\"\n", aSharing);
    Cluster cluster(aDeployment, options);
    cluster.Start();
    aReport.Add("case", aSharing);
    Load load(cluster.CallerAddress(), aSeed);
    auto bulk = aDeployment.bulk;
    bulk.workMs = kBulkWorkMs;
    bulk.answerBytes = kBulkAnswerBytes;
    load.Add({ aDeployment.reading, kOfferedPerSecond, 1, 0, kLoadSeconds,
               "limited_rate" });
    load.Add(
      { bulk, kBulkPerSecond, 1, 0, kLoadSeconds, "limited_concurrency" });
    load.Start();
    InjectFaults(aDeployment, load, cluster);
    load.Join();
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    AddRate(aSharing, load, cluster, aReport);
    AddConcurrency(aSharing, load, cluster, aDeployment, aReport);
    aReport.AddReasons(load.Records());
  }

  static auto WaitUntil(const Load& aLoad, double aSecond) -> void
  {
    while (aLoad.Elapsed() < aSecond) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  static auto SetCut(const Deployment& aDeployment, Cluster& aCluster,
                     bool aCut) -> void
  {
    const auto& cutOff = aDeployment.failureDomains.back();
    for (const auto& domain : aDeployment.failureDomains) {
      if (domain != cutOff) {
        aCluster.CutLinks(domain, cutOff, aCut);
        aCluster.CutLinks(cutOff, domain, aCut);
      }
    }
    aCluster.CutStore(cutOff, aCut);
  }

  static auto InjectFaults(const Deployment& aDeployment, const Load& aLoad,
                           Cluster& aCluster) -> void
  {
    WaitUntil(aLoad, kCutAtSeconds);
    SetCut(aDeployment, aCluster, true);
    WaitUntil(aLoad, kJoinAtSeconds);
    auto& joined = aCluster.AddBalancer(aDeployment.failureDomains[0]);
    aCluster.Publish();
    aCluster.WaitReady(joined);
    WaitUntil(aLoad, kKillAtSeconds);
    auto& killed = aCluster.Balancers()[1];
    killed.process->Signal(SIGKILL);
    killed.sprayed = false;
    aCluster.Publish();
    WaitUntil(aLoad, kHealAtSeconds);
    SetCut(aDeployment, aCluster, false);
  }

  static auto AddRate(const std::string& aSharing, const Load& aLoad,
                      Cluster& aCluster, Report& aReport) -> void
  {
    const auto& records = aLoad.Records().at("limited_rate");
    const PlanLimitsUse use(records, aCluster);
    const auto most = static_cast<double>(use.MaxRunsInWindow(kWindowSeconds));
    const auto rate = kLimitPerSecond;
    aReport.Add(aSharing + "_rate_offered", std::uint64_t{ records.size() });
    aReport.Add(aSharing + "_rate_allowed",
                std::uint64_t{ use.RunsBetween(0, kLoadSeconds) });
    AddUnusable(aSharing + "_rate_unusable_before_cut", use, 0, kCutAtSeconds,
                aReport);
    AddUnusable(aSharing + "_rate_unusable_in_cut", use, kCutAtSeconds,
                kHealAtSeconds, aReport);
    AddUnusable(aSharing + "_rate_unusable_after", use, kHealAtSeconds,
                kLoadSeconds, aReport);
    aReport.Add(aSharing + "_rate_overshoot",
                most / (rate * kWindowSeconds) - 1);
    // The bound covers one period more than the window, and the share that the
    // killed balancer had used before it was reassigned to the others, which is
    // at most the share of a failure domain.
    const auto domains = CountDomains(aCluster);
    const auto bound = rate * (kWindowSeconds + kPeriodSeconds) +
                       rate * kPeriodSeconds / domains;
    aReport.Require(aSharing +
                      " rate within rate * (window + period) and one share",
                    most <= bound);
    aReport.Require(aSharing + " rate allowed in the cut",
                    use.RunsBetween(kCutAtSeconds, kHealAtSeconds) > 0);
  }

  static auto AddUnusable(const std::string& aKey, const PlanLimitsUse& aUse,
                          double aFrom, double aUntil, Report& aReport) -> void
  {
    const auto allowance = kLimitPerSecond * (aUntil - aFrom);
    const auto ran = static_cast<double>(aUse.RunsBetween(aFrom, aUntil));
    aReport.Add(aKey, 1 - ran / allowance);
  }

  static auto CountDomains(Cluster& aCluster) -> double
  {
    std::set<std::string> domains;
    for (const auto& balancer : aCluster.Balancers()) {
      domains.insert(balancer.failureDomain);
    }
    return static_cast<double>(domains.size());
  }

  static auto AddConcurrency(const std::string& aSharing, const Load& aLoad,
                             Cluster& aCluster, const Deployment& aDeployment,
                             Report& aReport) -> void
  {
    const auto& records = aLoad.Records().at("limited_concurrency");
    const PlanLimitsUse use(records, aCluster);
    const auto most = use.MaxConcurrentRuns(kBulkWorkMs);
    aReport.Add(aSharing + "_concurrency_limit",
                std::uint64_t{ kConcurrencyLimit });
    aReport.Add(aSharing + "_concurrency_most_at_once", std::uint64_t{ most });
    // Requests in flight when a balancer joins keep their slots until they
    // end. These are at most all slots of that failure domain.
    const auto domains = aDeployment.failureDomains.size();
    const auto domainShare = (kConcurrencyLimit + domains - 1) / domains;
    aReport.Require(aSharing +
                      " concurrency within the limit and one domain's share",
                    most <= kConcurrencyLimit + domainShare);
    aReport.Require(aSharing + " concurrency is used", most > 0);
  }
};

const Registration<ScenarioRegistry, PlanLimitsCut> kRegistration(
  "plan-limits-cut");

} // namespace

} // namespace bramleylock::measure
