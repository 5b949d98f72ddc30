// Scenarios "paused-balancer", "one-way-loss" and "split-domain": a balancer
// that stops and wakes, and cuts within a failure domain.

#include "measure/Scenario.h"
#include "measure/Views.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 13;
static constexpr double kFaultAt = 2;
static constexpr double kMendAt = 8;
static constexpr double kAgreeLimit = 4;
static constexpr double kAgreeGiveUp = 12;

namespace {

/// A fault that is put in at kFaultAt and taken out at kMendAt, under load.
class MemberFault : public Scenario
{
public:
  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.proxied = true;
    Cluster cluster(deployment, options);
    cluster.Start();
    RevisionWatch revisions;
    aReport.Require("views agree before the fault",
                    SecondsUntilAgreed(cluster, revisions, kAgreeGiveUp) <
                      kAgreeGiveUp);
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 60, 5, 0, kSeconds, "booking" });
    load.Add({ deployment.reading, 120, 5, 0, kSeconds, "reading" });
    load.Start();
    SleepUntil(load, kFaultAt);
    Fault(cluster, true);
    SleepUntil(load, kMendAt);
    Fault(cluster, false);
    const auto died = cluster.CounterSum("member_died");
    const auto agreed = SecondsUntilAgreed(cluster, revisions, kAgreeGiveUp);
    load.Join();
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    aReport.Add("died_by_mending", died);
    aReport.Require(ExpectsDeath() ? "died_by_mending>0" : "died_by_mending=0",
                    ExpectsDeath() == (died > 0));
    aReport.Add("views_agree_s", agreed);
    aReport.Require("views_agree_s<=4", agreed <= kAgreeLimit);
    for (const auto* name :
         { "member_suspected", "member_died", "member_refuted", "domains_lost",
           "peer_unreachable", "peer_link_silent", "unknown_owner_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

protected:
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
  static auto SleepUntil(const Load& aLoad, double aSecond) -> void
  {
    while (aLoad.Elapsed() < aSecond) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }
};

class PausedBalancer : public MemberFault
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

class OneWayLoss : public MemberFault
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

class SplitDomain : public MemberFault
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
