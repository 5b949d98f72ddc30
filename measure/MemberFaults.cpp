// Scenarios "paused-balancer", "one-way-loss" and "split-domain": a balancer
// that is suspended and resumed, and cut links within a failure domain.

#include "measure/MemberFault.h"

#include <csignal>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 13;
static constexpr double kFaultAtSeconds = 2;
static constexpr double kHealAtSeconds = 8;

namespace {

/// A fault that is injected at kFaultAtSeconds and removed at kHealAtSeconds.
class TimedFault : public MemberFault
{
protected:
  TimedFault()
    : MemberFault(kLoadSeconds)
  {
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    WaitUntil(aContext.load, kFaultAtSeconds);
    SetFault(aContext.cluster, true);
    WaitUntil(aContext.load, kHealAtSeconds);
    SetFault(aContext.cluster, false);
    m_deathsBeforeHeal = aContext.cluster.CounterSum("member_died");
    AwaitConvergence(aContext.cluster);
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    aReport.Add("died_by_mending", m_deathsBeforeHeal);
    aReport.Require(ExpectsDeath() ? "died_by_mending>0" : "died_by_mending=0",
                    ExpectsDeath() == (m_deathsBeforeHeal > 0));
    EvaluateConvergence(aReport);
    AddCounters(aContext.cluster,
                { "member_suspected", "member_died", "member_refuted",
                  "domains_lost", "peer_unreachable", "peer_link_silent",
                  "unknown_owner_lost" },
                aReport);
  }

  virtual auto SetFault(Cluster& aCluster, bool aOn) -> void = 0;

  /// Whether the members are expected to declare a member dead.
  virtual auto ExpectsDeath() const -> bool = 0;

  /// Names of the balancers of the first failure domain.
  static auto BalancersOfFirstDomain(Cluster& aCluster)
    -> std::vector<std::string>
  {
    std::vector<std::string> names;
    const auto domain = aCluster.Balancers().front().failureDomain;
    for (const auto& balancer : aCluster.Balancers()) {
      if (balancer.failureDomain == domain) {
        names.push_back(balancer.name);
      }
    }
    return names;
  }

private:
  std::uint64_t m_deathsBeforeHeal = 0;
};

class PausedBalancer : public TimedFault
{
public:
  auto Summary() const -> std::string override
  {
    return "a balancer is suspended for some seconds and resumed";
  }

protected:
  auto SetFault(Cluster& aCluster, bool aOn) -> void override
  {
    auto& balancer = aCluster.Balancers().front();
    balancer.process->Signal(aOn ? SIGSTOP : SIGCONT);
  }

  auto ExpectsDeath() const -> bool override { return true; }
};

class OneWayLoss : public TimedFault
{
public:
  auto Summary() const -> std::string override
  {
    return "one balancer cannot send to another of its failure domain";
  }

protected:
  auto SetFault(Cluster& aCluster, bool aOn) -> void override
  {
    const auto names = BalancersOfFirstDomain(aCluster);
    aCluster.CutLink(names.at(0), names.at(1), aOn);
  }

  auto ExpectsDeath() const -> bool override { return false; }
};

class SplitDomain : public TimedFault
{
public:
  auto Summary() const -> std::string override
  {
    return "one balancer is cut from the others of its failure domain";
  }

protected:
  auto SetFault(Cluster& aCluster, bool aOn) -> void override
  {
    const auto names = BalancersOfFirstDomain(aCluster);
    for (std::size_t i = 1; i < names.size(); ++i) {
      aCluster.CutLink(names.front(), names[i], aOn);
      aCluster.CutLink(names[i], names.front(), aOn);
    }
  }

  auto ExpectsDeath() const -> bool override { return true; }
};

const Registration<ScenarioRegistry, PausedBalancer> kPaused("paused-balancer");
const Registration<ScenarioRegistry, OneWayLoss> kOneWay("one-way-loss");
const Registration<ScenarioRegistry, SplitDomain> kSplit("split-domain");

} // namespace

} // namespace bramleylock::measure
