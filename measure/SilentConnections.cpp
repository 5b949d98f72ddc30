// Scenario "silent-connections": the proxies between balancers and targets
// silently drop the traffic of existing connections, while new ones work.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 10;
static constexpr std::array<double, 3> kBlackholeAtSeconds{ 2, 4, 6 };

/// How long a live target sends nothing while it works on one request.
static constexpr int kLongWorkMs = 8000;
static constexpr double kLongWorkToleranceMs = 1500;

/// Time within which a reading request on a blackholed connection must be
/// answered over another one.
static constexpr double kAnswerElsewhereLimitMs = 4000;

namespace {

/// Start of the first run in seconds of the load, by request id.
using FirstRunTimes = std::map<std::string, double>;

class SilentConnections : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "existing connections to targets go silent for good, new ones work";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.proxyTargets = true;
    Cluster cluster(deployment, options);
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 60, 5, 0, seconds, "booking" });
    load.Add({ deployment.reading, 120, 5, 0, seconds, "reading" });
    load.Add({ deployment.bulk, 5, 1, 0, seconds, "bulk" });
    auto longWork = deployment.bulk;
    longWork.workMs = kLongWorkMs;
    longWork.answerBytes = 1000;
    // The long work starts after connections are blackholed for the last time.
    const double longFrom = kBlackholeAtSeconds.back() + 0.5;
    load.Add({ longWork, 1, 1, longFrom, longFrom + 2, "long" });
    const auto startedAt = UnixTimeMs();
    load.Start();
    for (const double at : kBlackholeAtSeconds) {
      std::this_thread::sleep_for(
        std::chrono::duration<double>(at - load.Elapsed()));
      cluster.BlackholeConnections();
    }
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    const auto runs = FirstRuns(cluster, startedAt);
    AddLosses(load.Records(), LostInFlight(cluster), runs, aReport);
    AddReadingLatency(load.Records(), aReport);
    AddLongWork(load.Records().at("long"), runs, aReport);
    for (const auto* name :
         { "target_silent", "hedge_sent", "hedge_won", "permit_vacated",
           "retry_budget_empty", "retry_connection_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  /// When each request first ran, in seconds of the load.
  static auto FirstRuns(Cluster& aCluster, std::uint64_t aStartedAt)
    -> FirstRunTimes
  {
    FirstRunTimes runs;
    for (auto& target : aCluster.Targets()) {
      const auto journal = aCluster.Journal(target);
      for (const auto& run : journal["runs"]) {
        const auto at = run.value("at", std::uint64_t{ 0 });
        const auto seconds = (static_cast<double>(at) - aStartedAt) / 1000;
        auto& first =
          runs.try_emplace(run.value("id", ""), seconds).first->second;
        first = std::min(first, seconds);
      }
    }
    return runs;
  }

  static auto LostInFlight(Cluster& aCluster) -> std::set<std::string>
  {
    std::set<std::string> lost;
    for (auto& target : aCluster.Targets()) {
      lost.merge(aCluster.DroppedRequests(target));
    }
    return lost;
  }

  /// Only at-most-once work that was in flight when its connection was
  /// blackholed may end without an answer.
  static auto AddLosses(
    const std::map<std::string, std::vector<Record>>& aRecords,
    const std::set<std::string>& aLost, const FirstRunTimes& aRuns,
    Report& aReport) -> void
  {
    std::uint64_t allowed = 0;
    std::uint64_t broken = 0;
    for (const auto& [label, records] : aRecords) {
      for (const auto& record : records) {
        if (record.outcome != caller::CallOutcome::Unknown) {
          continue;
        }
        const bool lossAllowed = record.atMostOnce && aLost.contains(record.id);
        (lossAllowed ? allowed : broken) += 1;
        if (!lossAllowed) {
          AddLossDetails(label, record, aRuns, aReport);
        }
      }
    }
    aReport.Add("unknown_in_flight", allowed);
    aReport.Add("broken_otherwise", broken);
    aReport.Require("broken_otherwise=0", broken == 0);
  }

  static auto AddLossDetails(const std::string& aLabel, const Record& aRecord,
                             const FirstRunTimes& aRuns, Report& aReport)
    -> void
  {
    const auto run = aRuns.find(aRecord.id);
    aReport.Add("lost_" + aLabel,
                fmt::format("started {:.3f} s, ran {}, ended after {:.0f} ms",
                            aRecord.startedAt,
                            run == aRuns.end()
                              ? std::string("nowhere")
                              : fmt::format("{:.3f} s", run->second),
                            aRecord.latencyMs));
  }

  static auto Slowest(const std::vector<Record>& aRecords) -> double
  {
    double slowest = 0;
    for (const auto& record : aRecords) {
      slowest = std::max(slowest, record.latencyMs);
    }
    return slowest;
  }

  static auto AddReadingLatency(
    const std::map<std::string, std::vector<Record>>& aRecords, Report& aReport)
    -> void
  {
    const auto reading = Slowest(aRecords.at("reading"));
    aReport.Add("reading_slowest_ms", reading);
    aReport.Require("reading_slowest_ms<=4000",
                    reading <= kAnswerElsewhereLimitMs);
  }

  /// Requires that the first run of each long request gives its answer.
  static auto AddLongWork(const std::vector<Record>& aRecords,
                          const FirstRunTimes& aRuns, Report& aReport) -> void
  {
    double slowest = 0;
    for (const auto& record : aRecords) {
      const auto ended = record.startedAt + record.latencyMs / 1000;
      const auto run = aRuns.find(record.id);
      const auto ranAt = run == aRuns.end() ? 0 : run->second;
      slowest = std::max(slowest, (ended - ranAt) * 1000);
    }
    aReport.Add("long_slowest_from_first_run_ms", slowest);
    aReport.Require("long work is not cut",
                    slowest <= kLongWorkMs + kLongWorkToleranceMs);
  }
};

const Registration<ScenarioRegistry, SilentConnections> kRegistration(
  "silent-connections");

} // namespace

} // namespace bramleylock::measure
