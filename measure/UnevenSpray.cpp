// Scenario "uneven-spray": a plan offers more than its rate limit, and the
// fabric sends most packets to one balancer of each failure domain.

#include "measure/PlanLimitsUse.h"
#include "measure/Scenario.h"

#include "bramleylock/Admission/AllowanceAllocation.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr double kLimitPerSecond = 60;
static constexpr double kOfferedPerSecond = 180;
static constexpr double kOtherPerSecond = 40;
static constexpr double kFloodFrom = 4;
static constexpr double kLoadSeconds = 12;
static constexpr double kWindowSeconds = 3;
static constexpr double kPeriodSeconds =
  static_cast<double>(admission::kAllowancePeriodMs) / 1000;
static constexpr double kBusyWeight = 9;
static constexpr double kMinKeptRatio = 0.98;

namespace {

/// A distribution of the packets and a policy for sharing the limit.
struct SprayCase
{
  const char* label;
  const char* sharing;
  double busyWeight;
};

constexpr std::array<SprayCase, 3> kCases{ {
  { "static_even", "static", 1 },
  { "static", "static", kBusyWeight },
  { "transfer", "transfer", kBusyWeight },
} };

class UnevenSpray : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a plan beyond its rate limit under uneven spray";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    auto deployment = *aOptions.deployment;
    deployment.lists.plans[deployment.reading.plan].ratePerSecond =
      kLimitPerSecond;
    for (const auto& spray : kCases) {
      RunCase(spray, deployment, aOptions.seed, aReport);
    }
  }

private:
  static auto RunCase(const SprayCase& aCase, const Deployment& aDeployment,
                      std::uint64_t aSeed, Report& aReport) -> void
  {
    ClusterOptions options;
    options.seed = aSeed;
    options.settings["plugins"] =
      fmt::format("plan_limits = \"{}\"\n", aCase.sharing);
    Cluster cluster(aDeployment, options);
    cluster.Start();
    auto& balancers = cluster.Balancers();
    for (std::size_t i = 0; i < aDeployment.failureDomains.size(); ++i) {
      balancers[i].weight = aCase.busyWeight;
    }
    cluster.Publish();
    Load load(cluster.CallerAddress(), aSeed);
    load.Add(
      { aDeployment.booking, kOtherPerSecond, 1, 0, kLoadSeconds, "other" });
    load.Add({ aDeployment.reading, kOfferedPerSecond, 1, kFloodFrom,
               kLoadSeconds, "limited" });
    load.Start();
    load.Join();
    aReport.Add("case", aCase.label);
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    AddUse(aCase, load, cluster, aReport);
    AddKept(aCase, load, aReport);
    aReport.AddReasons(load.Records());
    for (const auto* name :
         { "allowance_asked", "allowance_given", "allowance_received" }) {
      aReport.Add(std::string(aCase.label) + "_" + name,
                  cluster.CounterSum(name));
    }
  }

  static auto AddUse(const SprayCase& aCase, const Load& aLoad,
                     Cluster& aCluster, Report& aReport) -> void
  {
    const std::string prefix = aCase.label;
    const auto& records = aLoad.Records().at("limited");
    const PlanLimitsUse use(records, aCluster);
    const auto ran =
      static_cast<double>(use.RunsBetween(kFloodFrom, kLoadSeconds));
    const auto allowance = kLimitPerSecond * (kLoadSeconds - kFloodFrom);
    const auto most = static_cast<double>(use.MaxRunsInWindow(kWindowSeconds));
    aReport.Add(prefix + "_offered", std::uint64_t{ records.size() });
    aReport.Add(prefix + "_allowed", ran);
    aReport.Add(prefix + "_unusable", std::max(0.0, 1 - ran / allowance));
    aReport.Add(prefix + "_unusable_static_formula",
                StaticUnusable(aCluster.Balancers()));
    aReport.Add(prefix + "_overshoot",
                most / (kLimitPerSecond * kWindowSeconds) - 1);
    // The allowance periods that a window overlaps last up to one period longer
    // than the window.
    const auto bound = kLimitPerSecond * (kWindowSeconds + kPeriodSeconds);
    aReport.Require(prefix + " within rate * (window + period)", most <= bound);
    aReport.Require(prefix + " some requests allowed", ran > 0);
  }

  /// The fraction of the limit that static shares leave unused, given the load
  /// offered to each balancer.
  static auto StaticUnusable(const std::vector<BalancerProcess>& aBalancers)
    -> double
  {
    std::map<std::string, int> members;
    double weights = 0;
    for (const auto& balancer : aBalancers) {
      ++members[balancer.failureDomain];
      weights += balancer.weight;
    }
    double used = 0;
    for (const auto& balancer : aBalancers) {
      const auto domains = static_cast<double>(members.size());
      const auto share =
        kLimitPerSecond / domains / members[balancer.failureDomain];
      used += std::min(share, kOfferedPerSecond * balancer.weight / weights);
    }
    return 1 - used / kLimitPerSecond;
  }

  static auto AddKept(const SprayCase& aCase, const Load& aLoad,
                      Report& aReport) -> void
  {
    const auto& other = aLoad.Records().at("other");
    const auto kept = AnsweredFraction(other, kFloodFrom, kLoadSeconds) /
                      AnsweredFraction(other, 0, kFloodFrom);
    const std::string key = std::string(aCase.label) + "_other_kept";
    aReport.Add(key, kept);
    aReport.Require(key + ">=0.98", kept >= kMinKeptRatio);
  }
};

const Registration<ScenarioRegistry, UnevenSpray> kRegistration("uneven-spray");

} // namespace

} // namespace bramleylock::measure
