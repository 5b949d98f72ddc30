// Scenario "domain-cut": one failure domain is cut from the others and from
// the platform under load, while the lists are edited on the other side.

#include "measure/Scenario.h"
#include "measure/Views.h"

#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 14;
static constexpr double kCutAt = 3;
static constexpr double kEditAt = 6;
static constexpr double kHealAt = 9;
static constexpr double kAgreeLimit = 4;
static constexpr double kAgreeGiveUp = 12;

namespace {

class DomainCut : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "one failure domain cut from the others and the platform";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.proxied = true;
    Cluster cluster(deployment, options);
    cluster.Start();
    RevisionWatch revisions;
    aReport.Require("views agree before the cut",
                    SecondsUntilAgreed(cluster, revisions, kAgreeGiveUp) <
                      kAgreeGiveUp);
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 60, 5, 0, kSeconds, "booking" });
    load.Add({ deployment.reading, 120, 5, 0, kSeconds, "reading" });
    load.Start();
    WaitUntil(load, kCutAt, cluster, revisions);
    const auto& cutOff = deployment.failureDomains.back();
    Cut(cluster, deployment, cutOff, true);
    WaitUntil(load, kEditAt, cluster, revisions);
    const auto revision = EditWeight(cluster, cluster.Balancers().front(), 3);
    aReport.Require("edit accepted at the majority", revision > 0);
    const auto before = Answered(cluster);
    WaitUntil(load, kHealAt, cluster, revisions);
    RequireServing(before, Answered(cluster), cluster, cutOff, aReport);
    Cut(cluster, deployment, cutOff, false);
    const auto agreed = SecondsUntilAgreed(cluster, revisions, kAgreeGiveUp);
    load.Join();
    revisions.Look(cluster);
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    aReport.Add("views_agree_s", agreed);
    aReport.Require("views_agree_s<=4", agreed <= kAgreeLimit);
    aReport.Add("reverted", revisions.Reverted());
    aReport.Require("reverted=0", revisions.Reverted() == 0);
    for (const auto* name :
         { "domains_lost", "member_suspected", "member_died", "member_refuted",
           "peer_unreachable", "peer_link_lost", "unknown_owner_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto WaitUntil(const Load& aLoad, double aSecond, Cluster& aCluster,
                        RevisionWatch& aWatch) -> void
  {
    while (aLoad.Elapsed() < aSecond) {
      aWatch.Look(aCluster);
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }

  static auto Cut(Cluster& aCluster, const Deployment& aDeployment,
                  const std::string& aCutOff, bool aCut) -> void
  {
    for (const auto& domain : aDeployment.failureDomains) {
      if (domain != aCutOff) {
        aCluster.CutLinks(domain, aCutOff, aCut);
        aCluster.CutLinks(aCutOff, domain, aCut);
      }
    }
    aCluster.CutStore(aCutOff, aCut);
  }

  static auto Answered(Cluster& aCluster)
    -> std::map<std::string, std::uint64_t>
  {
    std::map<std::string, std::uint64_t> answered;
    for (auto& balancer : aCluster.Balancers()) {
      const auto counters = aCluster.Admin(balancer, "GET", "/counters");
      answered[balancer.name] =
        counters.value("requests_answered", std::uint64_t{ 0 });
    }
    return answered;
  }

  /// Both sides have to answer requests during the cut.
  static auto RequireServing(std::map<std::string, std::uint64_t> aBefore,
                             std::map<std::string, std::uint64_t> aAfter,
                             Cluster& aCluster, const std::string& aCutOff,
                             Report& aReport) -> void
  {
    std::uint64_t cutOff = 0;
    std::uint64_t others = 0;
    for (const auto& balancer : aCluster.Balancers()) {
      const auto grown = aAfter[balancer.name] - aBefore[balancer.name];
      (balancer.failureDomain == aCutOff ? cutOff : others) += grown;
    }
    aReport.Add("answered_in_cut_domain", cutOff);
    aReport.Add("answered_elsewhere", others);
    aReport.Require("both sides serve", cutOff > 0 && others > 0);
  }
};

const Registration<ScenarioRegistry, DomainCut> kRegistration("domain-cut");

} // namespace

} // namespace bramleylock::measure
