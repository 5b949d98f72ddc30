// Scenarios "paused-balancer", "one-way-loss" and "split-domain": a balancer
// that stops and wakes, and cuts within a failure domain.

#include "measure/MemberFault.h"

#include <csignal>

namespace bramleylock::measure {

static constexpr double kSeconds = 13;
static constexpr double kFaultAt = 2;
static constexpr double kMendAt = 8;

namespace {

/// A fault that is put in at kFaultAt and taken out at kMendAt.
class TimedFault : public MemberFault
{
protected:
  TimedFault()
    : MemberFault(kSeconds)
  {
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    WaitUntil(aContext.load, kFaultAt);
    Fault(aContext.cluster, true);
    WaitUntil(aContext.load, kMendAt);
    Fault(aContext.cluster, false);
    m_died = aContext.cluster.CounterSum("member_died");
    AwaitConvergence(aContext.cluster);
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    aReport.Add("died_by_mending", m_died);
    aReport.Require(ExpectsDeath() ? "died_by_mending>0" : "died_by_mending=0",
                    ExpectsDeath() == (m_died > 0));
    EvaluateConvergence(aReport);
    AddCounters(aContext.cluster,
                { "member_suspected", "member_died", "member_refuted",
                  "domains_lost", "peer_unreachable", "peer_link_silent",
                  "unknown_owner_lost" },
                aReport);
  }

  virtual auto Fault(Cluster& aCluster, bool aOn) -> void = 0;

  /// Whether the members are right to hold somebody dead.
  virtual auto ExpectsDeath() const -> bool = 0;

  /// The first balancers of the first failure domain.
  static auto InFirstDomain(Cluster& aCluster) -> std::vector<std::string>
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
  std::uint64_t m_died = 0;
};

class PausedBalancer : public TimedFault
{
public:
  auto Summary() const -> std::string override
  {
    return "a balancer is stopped for seconds and wakes";
  }

protected:
  auto Fault(Cluster& aCluster, bool aOn) -> void override
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
  auto Fault(Cluster& aCluster, bool aOn) -> void override
  {
    const auto names = InFirstDomain(aCluster);
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
  auto Fault(Cluster& aCluster, bool aOn) -> void override
  {
    const auto names = InFirstDomain(aCluster);
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
