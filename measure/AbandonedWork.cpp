// Scenario "abandoned-work": cancelled requests stop at their targets, and
// requests past their deadline are never started.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr int kCancelled = 12;
static constexpr int kCancelledWorkMs = 10000;
static constexpr Milliseconds kCancelAfter{ 400 };
static constexpr Milliseconds kSettle{ 1000 };

/// A flood of readings that one host for each service cannot serve in time.
static constexpr double kFloodSeconds = 3;
static constexpr double kFloodPerSecond = 200;
static constexpr int kFloodWorkMs = 60;
static constexpr int kFloodDeadlineMs = 300;

/// Clocks of caller and target are read at different moments.
static constexpr std::uint64_t kClockSlackMs = 50;

namespace {

class AbandonedWork : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "cancels reach the targets, expired work is not started";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    Cluster cluster(deployment, { aOptions.seed, {}, 0, 0 });
    cluster.Start();
    CancelAll(cluster, deployment.bulk);
    std::this_thread::sleep_for(kSettle);
    const auto cancelled = Sum(cluster, "cancelled");
    const auto runs = Runs(cluster, deployment.bulk.service);
    aReport.Add("started", runs);
    aReport.Add("cancelled", cancelled);
    aReport.Require("some work had started", runs > 0);
    aReport.Require("cancelled>=started", cancelled >= runs);
    const auto busy = BusyTargets(cluster);
    aReport.Add("busy_after_cancel", busy);
    aReport.Require("busy_after_cancel=0", busy == 0);
    Flood(aOptions, aReport);
  }

private:
  static auto CancelAll(Cluster& aCluster, const LoadShape& aShape) -> void
  {
    asio::io_context context(1);
    std::error_code error;
    caller::Client client(context,
                          ParseUdpEndpoint(aCluster.CallerAddress(), error));
    caller::Flow flow(client, aShape.service, CredentialOf(aShape.plan));
    for (int i = 0; i < kCancelled; ++i) {
      Spawn(context, "call", CallOnce(flow, aShape, i));
    }
    Spawn(context, "cancel", CancelLater(client, flow));
    context.run();
  }

  static auto CallOnce(caller::Flow& aFlow, const LoadShape& aShape,
                       int aNumber) -> awaitable<void>
  {
    caller::CallOptions options;
    options.work = aShape.work;
    options.payload =
      fmt::format("id=cancel-{} ms={} bytes=10", aNumber, kCancelledWorkMs);
    options.deadline = Milliseconds(2 * kCancelledWorkMs);
    co_await aFlow.Call(std::move(options));
  }

  static auto CancelLater(caller::Client& aClient, caller::Flow& aFlow)
    -> awaitable<void>
  {
    co_await Sleep(kCancelAfter);
    aFlow.Cancel();
    co_await Sleep(kCancelAfter);
    aClient.Close();
  }

  static auto Sum(Cluster& aCluster, const std::string& aKey) -> std::uint64_t
  {
    std::uint64_t sum = 0;
    for (auto& target : aCluster.Targets()) {
      sum += aCluster.Journal(target).value(aKey, std::uint64_t{ 0 });
    }
    return sum;
  }

  static auto BusyTargets(Cluster& aCluster) -> std::uint64_t
  {
    std::uint64_t busy = 0;
    for (auto& target : aCluster.Targets()) {
      const auto load = aCluster.Control(target.process->Value("target"),
                                         "/load", nlohmann::json::object());
      busy += load.value("load", 1.0) > 0 ? 1 : 0;
    }
    return busy;
  }

  static auto Runs(Cluster& aCluster, const std::string& aService)
    -> std::uint64_t
  {
    std::uint64_t sum = 0;
    for (const auto& [name, runs] : aCluster.RunsByTarget(aService)) {
      sum += static_cast<std::uint64_t>(runs);
    }
    return sum;
  }

  static auto Flood(const ScenarioOptions& aOptions, Report& aReport) -> void
  {
    const auto& deployment = *aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.hosts = 1;
    Cluster cluster(deployment, options);
    cluster.Start();
    auto shape = deployment.reading;
    shape.workMs = kFloodWorkMs;
    shape.deadlineMs = kFloodDeadlineMs;
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ shape, kFloodPerSecond, 5, 0, kFloodSeconds, "reading" });
    const auto startedAt = UnixTimeMs();
    load.Start();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    std::map<std::string, std::uint64_t> deadlines;
    for (const auto& record : load.Records().at("reading")) {
      deadlines[record.id] =
        startedAt + static_cast<std::uint64_t>(record.startedAt * 1000) +
        kFloodDeadlineMs + kClockSlackMs;
    }
    std::uint64_t late = 0;
    for (auto& target : cluster.Targets()) {
      const auto journal = cluster.Journal(target);
      for (const auto& run : journal["runs"]) {
        const auto at = run.value("at", std::uint64_t{ 0 });
        late += at > deadlines[run.value("id", "")] ? 1 : 0;
      }
    }
    aReport.Add("started_late", late);
    aReport.Add("expired_at_target", Sum(cluster, "expired"));
    aReport.Require("started_late=0", late == 0);
    aReport.AddReasons(load.Records());
  }
};

const Registration<ScenarioRegistry, AbandonedWork> kRegistration(
  "abandoned-work");

} // namespace

} // namespace bramleylock::measure
