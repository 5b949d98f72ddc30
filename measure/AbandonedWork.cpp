// Scenario "abandoned-work": targets stop executing cancelled requests, and
// never start requests after their deadline.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr int kCancelledRequests = 12;
static constexpr int kCancelledWorkMs = 10000;
static constexpr Milliseconds kCancelAfter{ 400 };
static constexpr Milliseconds kSettleTime{ 1000 };

/// An overload of read requests that one host per service cannot serve within
/// their deadline.
static constexpr double kOverloadSeconds = 3;
static constexpr double kOverloadPerSecond = 200;
static constexpr int kOverloadWorkMs = 60;
static constexpr int kOverloadDeadlineMs = 300;

/// Tolerance, as caller and target read their clocks at different times.
static constexpr std::uint64_t kClockSlackMs = 50;

namespace {

class AbandonedWork : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "cancelled requests stop at the targets, expired requests never "
           "start";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    Cluster cluster(deployment, { aOptions.seed, {}, 0, 0 });
    cluster.Start();
    CancelRequests(cluster, deployment.bulk);
    std::this_thread::sleep_for(kSettleTime);
    const auto cancelled = SumOverJournals(cluster, "cancelled");
    const auto runs = CountRuns(cluster, deployment.bulk.service);
    aReport.Add("started", runs);
    aReport.Add("cancelled", cancelled);
    aReport.Require("at least one request started", runs > 0);
    aReport.Require("cancelled>=started", cancelled >= runs);
    const auto busy = BusyTargets(cluster);
    aReport.Add("busy_after_cancel", busy);
    aReport.Require("busy_after_cancel=0", busy == 0);
    RunOverload(aOptions, aReport);
  }

private:
  static auto CancelRequests(Cluster& aCluster, const RequestProfile& aProfile)
    -> void
  {
    asio::io_context context(1);
    std::error_code error;
    caller::Client client(context,
                          ParseUdpEndpoint(aCluster.CallerAddress(), error));
    caller::Flow flow(client, aProfile.service, CredentialOf(aProfile.plan));
    for (int i = 0; i < kCancelledRequests; ++i) {
      Spawn(context, "call", CallOnce(flow, aProfile, i));
    }
    Spawn(context, "cancel", CancelLater(client, flow));
    context.run();
  }

  static auto CallOnce(caller::Flow& aFlow, const RequestProfile& aProfile,
                       int aNumber) -> awaitable<void>
  {
    caller::CallOptions options;
    options.work = aProfile.work;
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

  static auto SumOverJournals(Cluster& aCluster, const std::string& aKey)
    -> std::uint64_t
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

  static auto CountRuns(Cluster& aCluster, const std::string& aService)
    -> std::uint64_t
  {
    std::uint64_t sum = 0;
    for (const auto& [name, runs] : aCluster.RunCountsByTarget(aService)) {
      sum += static_cast<std::uint64_t>(runs);
    }
    return sum;
  }

  static auto RunOverload(const ScenarioOptions& aOptions, Report& aReport)
    -> void
  {
    const auto& deployment = *aOptions.deployment;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.hosts = 1;
    Cluster cluster(deployment, options);
    cluster.Start();
    auto shape = deployment.reading;
    shape.workMs = kOverloadWorkMs;
    shape.deadlineMs = kOverloadDeadlineMs;
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ shape, kOverloadPerSecond, 5, 0, kOverloadSeconds, "reading" });
    const auto startedAt = UnixTimeMs();
    load.Start();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    std::map<std::string, std::uint64_t> deadlines;
    for (const auto& record : load.Records().at("reading")) {
      deadlines[record.id] =
        startedAt + static_cast<std::uint64_t>(record.startedAt * 1000) +
        kOverloadDeadlineMs + kClockSlackMs;
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
    aReport.Add("expired_at_target", SumOverJournals(cluster, "expired"));
    aReport.Require("started_late=0", late == 0);
    aReport.AddReasons(load.Records());
  }
};

const Registration<ScenarioRegistry, AbandonedWork> kRegistration(
  "abandoned-work");

} // namespace

} // namespace bramleylock::measure
