// Scenario "hand-over-size": a balancer that owns 100,000 flows stops while
// callers go on using them.

#include "measure/Scenario.h"
#include "measure/Tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

namespace bramleylock::measure {

static constexpr int kFlows = 100000;
static constexpr int kOpenedInParallel = 20;

/// Flows that are used once more while the balancer stops, and how many of
/// them at a time.
static constexpr int kUsedAgain = 10000;
static constexpr int kUsedInParallel = 20;

static constexpr Milliseconds kStopLimit{ 30000 };

/// How requests are named.
static constexpr const char* kOnce = "once-";
static constexpr const char* kRead = "read-";

/// How long the platform may take to hear which balancers get packets.
static constexpr Milliseconds kPublished{ 1000 };

namespace {

/// A flow and what it carries.
struct OpenFlow
{
  std::unique_ptr<caller::Flow> flow;
  bool atMostOnce = false;
};

using Flows = std::vector<OpenFlow>;

/// What the calls of one stage came to.
struct Stage
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
    return "a balancer stops that owns 100,000 flows in use";
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
    Stage opening;
    RunTasks(context, kOpenedInParallel, [&](int) {
      return Open(client, flows, opening, kFlows / kOpenedInParallel);
    });
    auto& stopping = cluster.Balancers().front();
    const auto owned =
      cluster.Admin(stopping, "GET", "/status").value("flows", 0U);
    SprayOnlyTo(cluster, cluster.Balancers().size());
    std::shuffle(flows.begin(), flows.end(), std::mt19937_64(aOptions.seed));
    const auto started = Clock::now();
    stopping.process->Signal(SIGTERM);
    Stage inUse;
    RunTasks(context, kUsedInParallel,
             [&](int aTask) { return Use(flows, aTask, inUse); });
    const bool stopped = stopping.process->Wait(kStopLimit);
    const std::chrono::duration<double> took = Clock::now() - started;
    stopping.listed = false;
    Tell(cluster, owned, opening, inUse, aReport);
    aReport.Add("stop_and_calls_seconds", took.count());
    aReport.Require("balancer stopped by itself", stopped);
    client.Close();
  }

private:
  /// Hands the packets to balancer aIndex alone, or to all when there is none.
  static auto SprayOnlyTo(Cluster& aCluster, std::size_t aIndex) -> void
  {
    auto& balancers = aCluster.Balancers();
    for (std::size_t i = 0; i < balancers.size(); ++i) {
      balancers[i].sprayed = aIndex >= balancers.size() || i == aIndex;
    }
    aCluster.Publish();
    std::this_thread::sleep_for(kPublished);
  }

  auto Shape(bool aAtMostOnce) const -> const RequestProfile&
  {
    return aAtMostOnce ? m_deployment->booking : m_deployment->reading;
  }

  auto Call(const OpenFlow& aFlow, Stage& aStage) -> awaitable<void>
  {
    caller::CallOptions options;
    options.work = Shape(aFlow.atMostOnce).work;
    options.payload = fmt::format("id={}{} ms=0 bytes=40",
                                  aFlow.atMostOnce ? kOnce : kRead, m_nextId++);
    const auto result = co_await aFlow.flow->Call(std::move(options));
    const bool answered = result.outcome == caller::CallOutcome::Answered;
    ++(answered ? aStage.answered : aStage.notAnswered);
    aStage.latencies.push_back(
      std::chrono::duration<double, std::milli>(result.latency).count());
  }

  auto Open(caller::Client& aClient, Flows& aFlows, Stage& aStage, int aCount)
    -> awaitable<void>
  {
    for (int i = 0; i < aCount; ++i) {
      // The record of at-most-once work moves with its flow.
      const bool atMostOnce = i % 2 == 0;
      const auto& shape = Shape(atMostOnce);
      OpenFlow opened{ std::make_unique<caller::Flow>(aClient, shape.service,
                                                      CredentialOf(shape.plan)),
                       atMostOnce };
      co_await Call(opened, aStage);
      aFlows.push_back(std::move(opened));
    }
  }

  auto Use(Flows& aFlows, int aTask, Stage& aStage) -> awaitable<void>
  {
    for (int i = aTask; i < kUsedAgain; i += kUsedInParallel) {
      co_await Call(aFlows[i], aStage);
    }
  }

  static auto Tell(Cluster& aCluster, std::uint64_t aOwned,
                   const Stage& aOpening, const Stage& aUsing, Report& aReport)
    -> void
  {
    std::uint64_t doubleRuns = 0;
    for (const auto& [id, count] : aCluster.RunsByRequest()) {
      doubleRuns += id.starts_with(kOnce) && count.runs > 1 ? 1 : 0;
    }
    const auto inherited = aCluster.CounterSum("flows_inherited");
    auto latencies = aUsing.latencies;
    std::sort(latencies.begin(), latencies.end());
    aReport.Add("flows_owned", aOwned);
    aReport.Add("flows_inherited", inherited);
    aReport.Add("opening_not_answered", aOpening.notAnswered);
    aReport.Add("requests", aUsing.answered + aUsing.notAnswered);
    aReport.Add("broken_flows", aUsing.notAnswered);
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
    aReport.Require("broken_flows=0", aUsing.notAnswered == 0);
    aReport.Require("opening_not_answered=0", aOpening.notAnswered == 0);
  }

  const Deployment* m_deployment = nullptr;
  std::uint64_t m_nextId = 0;
};

const Registration<ScenarioRegistry, HandOverSize> kRegistration(
  "hand-over-size");

} // namespace

} // namespace bramleylock::measure
