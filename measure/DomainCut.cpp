// Scenario "domain-cut": one failure domain is isolated from the others and
// from the platform under load, while the lists are edited on the majority
// side.

#include "measure/MemberFault.h"

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 14;
static constexpr double kCutAtSeconds = 3;
static constexpr double kEditAtSeconds = 6;
static constexpr double kHealAtSeconds = 9;

namespace {

class DomainCut : public MemberFault
{
public:
  DomainCut()
    : MemberFault(kLoadSeconds)
  {
  }

  auto Summary() const -> std::string override
  {
    return "one failure domain isolated from the others and the platform";
  }

protected:
  auto RunDuringLoad(const ScenarioContext& aContext, Report& aReport)
    -> void override
  {
    auto& cluster = aContext.cluster;
    const auto& cutOff = aContext.deployment.failureDomains.back();
    WatchUntil(aContext, kCutAtSeconds);
    cluster.CutDomains({ cutOff });
    WatchUntil(aContext, kEditAtSeconds);
    const auto revision = EditWeight(cluster, cluster.Balancers().front(), 3);
    aReport.Require("edit accepted on the majority side", revision > 0);
    const auto before = AnsweredByBalancer(cluster);
    WatchUntil(aContext, kHealAtSeconds);
    RequireBothSidesAnswer(before, AnsweredByBalancer(cluster), cluster, cutOff,
                           aReport);
    cluster.CutDomains({});
    AwaitConvergence(cluster);
    aContext.load.Join();
    Revisions().Poll(cluster);
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    EvaluateConvergence(aReport);
    aReport.Add("reverted", Revisions().Reverted());
    aReport.Require("reverted=0", Revisions().Reverted() == 0);
    AddCounters(aContext.cluster,
                { "domains_lost", "member_suspected", "member_died",
                  "member_refuted", "peer_unreachable", "peer_link_lost",
                  "unknown_owner_lost" },
                aReport);
  }

private:
  static auto AnsweredByBalancer(Cluster& aCluster)
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

  /// Requires that both sides of the partition answer requests.
  static auto RequireBothSidesAnswer(
    std::map<std::string, std::uint64_t> aBefore,
    std::map<std::string, std::uint64_t> aAfter, Cluster& aCluster,
    const std::string& aCutOff, Report& aReport) -> void
  {
    std::uint64_t cutOff = 0;
    std::uint64_t others = 0;
    for (const auto& balancer : aCluster.Balancers()) {
      const auto answered = aAfter[balancer.name] - aBefore[balancer.name];
      (balancer.failureDomain == aCutOff ? cutOff : others) += answered;
    }
    aReport.Add("answered_in_cut_domain", cutOff);
    aReport.Add("answered_elsewhere", others);
    aReport.Require("both sides of the cut answer requests",
                    cutOff > 0 && others > 0);
  }
};

const Registration<ScenarioRegistry, DomainCut> kRegistration("domain-cut");

} // namespace

} // namespace bramleylock::measure
