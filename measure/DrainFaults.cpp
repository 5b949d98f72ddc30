// Scenarios "drain-faults" and "successor-dies": balancers drain while other
// balancers drain, during an outage of the store, or while the receiver of
// their flows fails.

#include "measure/LoadedScenario.h"
#include "measure/OwnerFaults.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 12;
static constexpr double kDrainAtSeconds = 3;
static constexpr double kLastDrainAtSeconds = 5;
static constexpr Milliseconds kDrainTimeout{ 20000 };

/// How long the receiver of the flows is unresponsive before it is killed.
static constexpr double kUnresponsiveSeconds = 0.4;
static constexpr int kFlows = 16;
static constexpr int kLongFlowRequests = 100000;
static constexpr int kPacketDelayMs = 10;
static constexpr int kLongAnswerBytes = 2000000;
static constexpr int kBookingAnswerBytes = 200000;

/// Requests that were refused because a balancer was draining.
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
static auto BalancersOfFirstDomain(Cluster& aCluster)
  -> std::vector<BalancerProcess*>
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

/// Waits for a draining balancer to exit and removes it from the VM list and
/// the fabric. Returns whether it exited in time.
static auto AwaitExit(Cluster& aCluster, BalancerProcess& aBalancer) -> bool
{
  const bool exited = aBalancer.process->Wait(kDrainTimeout);
  aBalancer.sprayed = false;
  aBalancer.listed = false;
  aCluster.Publish();
  return exited;
}

namespace {

/// The load for drains: long-lived flows and long answers.
class DrainScenario : public LoadedScenario
{
protected:
  DrainScenario()
    : LoadedScenario(kLoadSeconds)
  {
  }

  auto AddLoad(Load& aLoad, const Deployment& aDeployment,
               double aSeconds) const -> void override
  {
    auto longAnswer = aDeployment.bulk;
    longAnswer.answerBytes = kLongAnswerBytes;
    aLoad.Add({ longAnswer, 3, 1, 0, aSeconds, "bulk" });
    // The transfer of the answer takes longer than the execution, so a drain
    // is likely to start during a transfer.
    auto longBooking = aDeployment.booking;
    longBooking.answerBytes = kBookingAnswerBytes;
    aLoad.Add({ longBooking, 20, 1, 0, aSeconds, "booking_with_parts" });
    for (int i = 0; i < kFlows; ++i) {
      aLoad.Add({ aDeployment.booking, 5, kLongFlowRequests, 0, aSeconds,
                  "long_booking" });
      aLoad.Add({ aDeployment.reading, 5, kLongFlowRequests, 0, aSeconds,
                  "long_reading" });
    }
  }
};

class DrainFaults : public DrainScenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a failure domain drained, the receiver of the flows last, "
           "while the store is down";
  }

protected:
  auto Prepare(Cluster& aCluster, Report& /*aReport*/) -> void override
  {
    DelayPackets(aCluster, kPacketDelayMs);
  }

  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    auto& cluster = aContext.cluster;
    WaitUntil(aContext.load, kDrainAtSeconds);
    cluster.SetStoreFault({ { "down", true } });
    const auto domain = BalancersOfFirstDomain(cluster);
    m_drainedBalancers = domain.size();
    // All but the last drain concurrently, so that they could choose each other
    // as receivers of their flows.
    for (std::size_t i = 0; i + 1 < domain.size(); ++i) {
      domain[i]->process->Signal(SIGTERM);
    }
    for (std::size_t i = 0; i + 1 < domain.size(); ++i) {
      m_allExited = AwaitExit(cluster, *domain[i]) && m_allExited;
    }
    WaitUntil(aContext.load, kLastDrainAtSeconds);
    domain.back()->process->Signal(SIGTERM);
    m_allExited = AwaitExit(cluster, *domain.back()) && m_allExited;
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& aChecks,
                Report& aReport) -> void override
  {
    aReport.Add("drained", m_drainedBalancers);
    aReport.Require("broken_flows=0", aChecks.brokenFlows == 0);
    const auto refused = RefusedByDrain(aContext.load);
    aReport.Add("refused_by_drain", refused);
    aReport.Require("refused_by_drain=0", refused == 0);
    aReport.Require("every balancer stopped by itself", m_allExited);
    const auto inheritedFlows = aContext.cluster.CounterSum("flows_inherited");
    aReport.Add("flows_inherited", inheritedFlows);
    aReport.Require("flows_inherited>0", inheritedFlows > 0);
  }

private:
  std::uint64_t m_drainedBalancers = 0;
  bool m_allExited = true;
};

class ReceiverCrash : public DrainScenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the receiver of a hand-over stops responding and is then killed";
  }

protected:
  auto RunDuringLoad(const ScenarioContext& aContext, Report& /*aReport*/)
    -> void override
  {
    auto& cluster = aContext.cluster;
    WaitUntil(aContext.load, kDrainAtSeconds);
    // All other balancers of the failure domain stop responding, because the
    // receiver is one of them.
    const auto domain = BalancersOfFirstDomain(cluster);
    for (std::size_t i = 1; i < domain.size(); ++i) {
      domain[i]->process->Signal(SIGSTOP);
    }
    domain.front()->process->Signal(SIGTERM);
    WaitUntil(aContext.load, kDrainAtSeconds + kUnresponsiveSeconds);
    for (std::size_t i = 1; i < domain.size(); ++i) {
      domain[i]->process->Signal(SIGKILL);
      domain[i]->sprayed = false;
    }
    cluster.Publish();
    m_exited = AwaitExit(cluster, *domain.front());
    for (const auto* balancer : domain) {
      m_faults.push_back({ balancer->process->Value("peers"), kDrainAtSeconds,
                           aContext.load.Elapsed() });
    }
  }

  auto Evaluate(const ScenarioContext& aContext, const Checks& /*aChecks*/,
                Report& aReport) -> void override
  {
    AddOwnerFaults(aContext.load.Records(), m_faults, aReport);
    aReport.Require("the drained balancer stopped by itself", m_exited);
  }

private:
  std::vector<OwnerFault> m_faults;
  bool m_exited = false;
};

const Registration<ScenarioRegistry, DrainFaults> kDrain("drain-faults");
const Registration<ScenarioRegistry, ReceiverCrash> kReceiverCrash(
  "successor-dies");

} // namespace

} // namespace bramleylock::measure
