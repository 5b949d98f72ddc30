// Scenarios "drain-faults" and "successor-dies": planned stops that meet other
// stops, an outage of the store, or the death of the receiver.

#include "measure/OwnerFaults.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 12;
static constexpr double kStopAt = 3;
static constexpr double kChainAt = 5;
static constexpr Milliseconds kDrainLimit{ 20000 };

/// How long the receiver is silent before it is killed.
static constexpr double kSilentSeconds = 0.4;
static constexpr int kFlows = 16;
static constexpr int kLongFlow = 100000;
static constexpr int kDelayMs = 10;
static constexpr int kLongAnswerBytes = 2000000;
static constexpr int kBookingAnswerBytes = 200000;

static auto AddLoad(Load& aLoad, const Deployment& aDeployment, double aSeconds)
  -> void
{
  auto longAnswer = aDeployment.bulk;
  longAnswer.answerBytes = kLongAnswerBytes;
  aLoad.Add({ longAnswer, 3, 1, 0, aSeconds, "bulk" });
  // Its answer is on the way for longer than its run, so a stop meets it.
  auto longBooking = aDeployment.booking;
  longBooking.answerBytes = kBookingAnswerBytes;
  aLoad.Add({ longBooking, 20, 1, 0, aSeconds, "booking_with_parts" });
  for (int i = 0; i < kFlows; ++i) {
    aLoad.Add(
      { aDeployment.booking, 5, kLongFlow, 0, aSeconds, "long_booking" });
    aLoad.Add(
      { aDeployment.reading, 5, kLongFlow, 0, aSeconds, "long_reading" });
  }
}

static auto WaitUntil(const Load& aLoad, double aSeconds) -> void
{
  while (aLoad.Elapsed() < aSeconds) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
}

/// Requests that were turned away because of a stop.
static auto RefusedByDrain(const Load& aLoad) -> std::uint64_t
{
  std::uint64_t refused = 0;
  for (const auto& [label, records] : aLoad.Records()) {
    refused += static_cast<std::uint64_t>(
      std::count_if(records.begin(), records.end(), [](const Record& aRecord) {
        return aRecord.reason == wire::Reason::Draining;
      }));
  }
  return refused;
}

/// The balancers of the first balancer's failure domain.
static auto FirstDomain(Cluster& aCluster) -> std::vector<BalancerProcess*>
{
  std::vector<BalancerProcess*> found;
  const auto domain = aCluster.Balancers().front().failureDomain;
  for (auto& balancer : aCluster.Balancers()) {
    if (balancer.failureDomain == domain) {
      found.push_back(&balancer);
    }
  }
  return found;
}

/// Waits for a drained balancer to stop; false when it does not.
static auto Stopped(Cluster& aCluster, BalancerProcess& aBalancer) -> bool
{
  const bool stopped = aBalancer.process->Wait(kDrainLimit);
  aBalancer.sprayed = false;
  aBalancer.listed = false;
  aCluster.Publish();
  return stopped;
}

namespace {

class DrainFaults : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a whole failure domain drained, two at once, then their heir, "
           "while the store is down";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    cluster.Control(cluster.FabricControl(), "/control/fault",
                    { { "delay", 1.0 }, { "delay_ms", kDelayMs } });
    Load load(cluster.CallerAddress(), aOptions.seed);
    AddLoad(load, deployment, seconds);
    load.Start();
    WaitUntil(load, kStopAt);
    cluster.Control(cluster.StoreAddress(), "/control/fault",
                    { { "down", true } });
    const auto domain = FirstDomain(cluster);
    bool stopped = true;
    // All but the last together, so that they could choose each other.
    for (std::size_t i = 0; i + 1 < domain.size(); ++i) {
      domain[i]->process->Signal(SIGTERM);
    }
    for (std::size_t i = 0; i + 1 < domain.size(); ++i) {
      stopped = Stopped(cluster, *domain[i]) && stopped;
    }
    WaitUntil(load, kChainAt);
    domain.back()->process->Signal(SIGTERM);
    stopped = Stopped(cluster, *domain.back()) && stopped;
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Add("drained", static_cast<std::uint64_t>(domain.size()));
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    const auto refused = RefusedByDrain(load);
    aReport.Add("refused_by_drain", refused);
    aReport.Require("refused_by_drain=0", refused == 0);
    aReport.Require("every balancer stopped by itself", stopped);
    aReport.Add("flows_inherited", cluster.CounterSum("flows_inherited"));
    aReport.Require("flows_inherited>0",
                    cluster.CounterSum("flows_inherited") > 0);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }
};

class SuccessorDies : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the receiver of a hand-over is silent and then dies";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, aOptions.nodes, 0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    AddLoad(load, deployment, seconds);
    load.Start();
    WaitUntil(load, kStopAt);
    // Every peer of the domain is silent, so the receiver is one of them.
    const auto domain = FirstDomain(cluster);
    for (std::size_t i = 1; i < domain.size(); ++i) {
      domain[i]->process->Signal(SIGSTOP);
    }
    domain.front()->process->Signal(SIGTERM);
    WaitUntil(load, kStopAt + kSilentSeconds);
    for (std::size_t i = 1; i < domain.size(); ++i) {
      domain[i]->process->Signal(SIGKILL);
      domain[i]->sprayed = false;
    }
    cluster.Publish();
    const bool stopped = Stopped(cluster, *domain.front());
    std::vector<OwnerFault> faults;
    faults.reserve(domain.size());
    for (const auto* balancer : domain) {
      faults.push_back(
        { balancer->process->Value("peers"), kStopAt, load.Elapsed() });
    }
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    AddOwnerFaults(load.Records(), faults, aReport);
    aReport.Require("the drained balancer stopped by itself", stopped);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }
};

const Registration<ScenarioRegistry, DrainFaults> kDrain("drain-faults");
const Registration<ScenarioRegistry, SuccessorDies> kSuccessor(
  "successor-dies");

} // namespace

} // namespace bramleylock::measure
