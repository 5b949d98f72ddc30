// Scenario "hand-over-size": a balancer that owns 100,000 flows stops while
// callers continue to use them.

#include "measure/Scenario.h"
#include "measure/Tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

namespace bramleylock::measure {

static constexpr int kFlows = 100000;
static constexpr int kOpenedConcurrently = 20;

/// Number of flows that are used again while the balancer stops, and how many
/// are used concurrently.
static constexpr int kReusedFlows = 10000;
static constexpr int kReusedConcurrently = 20;

static constexpr Milliseconds kStopLimit{ 30000 };

/// Prefixes of the ids of at-most-once and of repeatable requests.
static constexpr const char* kAtMostOncePrefix = "once-";
static constexpr const char* kRepeatablePrefix = "read-";

/// Time for the platform to apply a change of the balancers that receive
/// packets.
static constexpr Milliseconds kPublishTime{ 1000 };

namespace {

/// An open flow and the kind of work that it carries.
struct OpenFlow
{
  std::unique_ptr<caller::Flow> flow;
  bool atMostOnce = false;
};

using Flows = std::vector<OpenFlow>;

/// Outcomes of the calls of one stage.
struct StageResult
{
  std::uint64_t answered = 0;
  std::uint64_t notAnswered = 0;
  std::vector<double> latencies;
};

class HandOverSize : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "a balancer that owns 100,000 flows in use stops";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    m_deployment = aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    Cluster cluster(*m_deployment, options);
    cluster.Start();
    SprayOnlyTo(cluster, 0);
    std::error_code error;
    const auto server = ParseUdpEndpoint(cluster.CallerAddress(), error);
    asio::io_context context(1);
    caller::Client client(context, server);
    Flows flows;
    StageResult opening;
    RunTasks(context, kOpenedConcurrently, [&](int) {
      return OpenFlows(client, flows, opening, kFlows / kOpenedConcurrently);
    });
    auto& stopping = cluster.Balancers().front();
    const auto owned =
      cluster.Admin(stopping, "GET", "/status").value("flows", 0U);
    SprayOnlyTo(cluster, cluster.Balancers().size());
    std::shuffle(flows.begin(), flows.end(), std::mt19937_64(aOptions.seed));
    const auto started = Clock::now();
    stopping.process->Signal(SIGTERM);
    StageResult duringStop;
    RunTasks(context, kReusedConcurrently,
             [&](int aTask) { return ReuseFlows(flows, aTask, duringStop); });
    const bool stopped = stopping.process->Wait(kStopLimit);
    const std::chrono::duration<double> stopTime = Clock::now() - started;
    stopping.listed = false;
    AddFigures(cluster, owned, opening, duringStop, aReport);
    aReport.Add("stop_and_calls_seconds", stopTime.count());
    aReport.Require("balancer stopped by itself", stopped);
    client.Close();
  }

private:
  /// Directs the packets to balancer aIndex alone, or to all balancers when
  /// aIndex is out of range.
  static auto SprayOnlyTo(Cluster& aCluster, std::size_t aIndex) -> void
  {
    auto& balancers = aCluster.Balancers();
    for (std::size_t i = 0; i < balancers.size(); ++i) {
      balancers[i].sprayed = aIndex >= balancers.size() || i == aIndex;
    }
    aCluster.Publish();
    std::this_thread::sleep_for(kPublishTime);
  }

  auto Shape(bool aAtMostOnce) const -> const RequestProfile&
  {
    return aAtMostOnce ? m_deployment->booking : m_deployment->reading;
  }

  auto Call(const OpenFlow& aFlow, StageResult& aStage) -> awaitable<void>
  {
    caller::CallOptions options;
    options.work = Shape(aFlow.atMostOnce).work;
    options.payload = fmt::format(
      "id={}{} ms=0 bytes=40",
      aFlow.atMostOnce ? kAtMostOncePrefix : kRepeatablePrefix, m_nextId++);
    const auto result = co_await aFlow.flow->Call(std::move(options));
    const bool answered = result.outcome == caller::CallOutcome::Answered;
    ++(answered ? aStage.answered : aStage.notAnswered);
    aStage.latencies.push_back(
      std::chrono::duration<double, std::milli>(result.latency).count());
  }

  auto OpenFlows(caller::Client& aClient, Flows& aFlows, StageResult& aStage,
                 int aCount) -> awaitable<void>
  {
    for (int i = 0; i < aCount; ++i) {
      // The record of at-most-once work is handed over with its flow.
      const bool atMostOnce = i % 2 == 0;
      const auto& shape = Shape(atMostOnce);
      OpenFlow opened{ std::make_unique<caller::Flow>(aClient, shape.service,
                                                      CredentialOf(shape.plan)),
                       atMostOnce };
      co_await Call(opened, aStage);
      aFlows.push_back(std::move(opened));
    }
  }

  auto ReuseFlows(Flows& aFlows, int aTask, StageResult& aStage)
    -> awaitable<void>
  {
    for (int i = aTask; i < kReusedFlows; i += kReusedConcurrently) {
      co_await Call(aFlows[i], aStage);
    }
  }

  static auto AddFigures(Cluster& aCluster, std::uint64_t aOwned,
                         const StageResult& aOpening,
                         const StageResult& aDuringStop, Report& aReport)
    -> void
  {
    std::uint64_t doubleRuns = 0;
    for (const auto& [id, count] : aCluster.RunsByRequest()) {
      doubleRuns += id.starts_with(kAtMostOncePrefix) && count.runs > 1 ? 1 : 0;
    }
    const auto inherited = aCluster.CounterSum("flows_inherited");
    auto latencies = aDuringStop.latencies;
    std::sort(latencies.begin(), latencies.end());
    aReport.Add("flows_owned", aOwned);
    aReport.Add("flows_inherited", inherited);
    aReport.Add("opening_not_answered", aOpening.notAnswered);
    aReport.Add("requests", aDuringStop.answered + aDuringStop.notAnswered);
    aReport.Add("broken_flows", aDuringStop.notAnswered);
    aReport.Add("double_runs", doubleRuns);
    aReport.Add("p50_ms", latencies[latencies.size() / 2]);
    aReport.Add("p99_ms", latencies[latencies.size() * 99 / 100]);
    aReport.Add("slowest_ms", latencies.back());
    for (const auto* name : { "packets_held", "packets_held_dropped",
                              "hand_over_in_doubt", "hand_over_refused" }) {
      aReport.Add(name, aCluster.CounterSum(name));
    }
    aReport.Require("flows_owned=100000", aOwned >= kFlows);
    aReport.Require("flows_inherited=flows_owned", inherited >= aOwned);
    aReport.Require("double_runs=0", doubleRuns == 0);
    aReport.Require("broken_flows=0", aDuringStop.notAnswered == 0);
    aReport.Require("opening_not_answered=0", aOpening.notAnswered == 0);
  }

  const Deployment* m_deployment = nullptr;
  std::uint64_t m_nextId = 0;
};

const Registration<ScenarioRegistry, HandOverSize> kRegistration(
  "hand-over-size");

} // namespace

} // namespace bramleylock::measure
