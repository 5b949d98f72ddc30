// Scenario "silent-connections": what stands between balancers and targets
// forgets the connections that exist, while new ones work.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 10;
static constexpr std::array<double, 3> kForgetAt{ 2, 4, 6 };

/// Requests that started this long before a connection was forgotten can have
/// been in flight on it.
static constexpr double kInFlightSeconds = 0.5;

/// How long a proven connection may wait between its proof and the request.
static constexpr double kDispatchSeconds = 0.05;

/// How long a live target stays quiet over one request.
static constexpr int kLongWorkMs = 8000;
static constexpr double kLongWorkSlackMs = 1500;

/// By when a reading on a forgotten connection must be answered elsewhere.
static constexpr double kFoundWithinMs = 4000;

namespace {

/// Seconds of the load.
struct Interval
{
  double from = 0;
  double until = 0;
};

class SilentConnections : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "connections to targets are forgotten for good, new ones work";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
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
    // It starts after the last connection is forgotten.
    const double longFrom = kForgetAt.back() + 0.5;
    load.Add({ longWork, 1, 1, longFrom, longFrom + 2, "long" });
    std::vector<Interval> forgotten;
    const auto startedAt = WallMilliseconds();
    load.Start();
    for (const double at : kForgetAt) {
      std::this_thread::sleep_for(
        std::chrono::duration<double>(at - load.Elapsed()));
      const double from = load.Elapsed();
      Forget(cluster);
      forgotten.push_back({ from, load.Elapsed() });
    }
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    AddLosses(load.Records(), forgotten, aReport);
    AddDelays(load.Records(), aReport);
    AddLongWork(cluster, load.Records(), startedAt, aReport);
    for (const auto* name : { "target_silent", "hedge_sent", "hedge_won",
                              "retry_budget_empty", "retry_connection_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  static auto Forget(Cluster& aCluster) -> void
  {
    for (auto& target : aCluster.Targets()) {
      aCluster.Control(target.proxy->Value("control"), "/control/fault",
                       { { "forget_existing", true } });
    }
  }

  static auto WasInFlight(const Record& aRecord,
                          const std::vector<Interval>& aForgotten) -> bool
  {
    return std::any_of(
      aForgotten.begin(), aForgotten.end(), [&aRecord](const Interval& aWhile) {
        return aRecord.startedAt > aWhile.from - kInFlightSeconds &&
               aRecord.startedAt < aWhile.until + kDispatchSeconds;
      });
  }

  /// Only at-most-once work that was in flight when its connection was
  /// forgotten may end without an answer.
  static auto AddLosses(
    const std::map<std::string, std::vector<Record>>& aRecords,
    const std::vector<Interval>& aForgotten, Report& aReport) -> void
  {
    std::uint64_t excused = 0;
    std::uint64_t broken = 0;
    for (const auto& [label, records] : aRecords) {
      for (const auto& record : records) {
        if (record.outcome != caller::CallOutcome::Unknown) {
          continue;
        }
        const bool mayEnd =
          record.atMostOnce && WasInFlight(record, aForgotten);
        (mayEnd ? excused : broken) += 1;
      }
    }
    aReport.Add("unknown_in_flight", excused);
    aReport.Add("broken_otherwise", broken);
    aReport.Require("broken_otherwise=0", broken == 0);
  }

  static auto Slowest(const std::vector<Record>& aRecords) -> double
  {
    double slowest = 0;
    for (const auto& record : aRecords) {
      slowest = std::max(slowest, record.latencyMs);
    }
    return slowest;
  }

  static auto AddDelays(
    const std::map<std::string, std::vector<Record>>& aRecords, Report& aReport)
    -> void
  {
    const auto reading = Slowest(aRecords.at("reading"));
    aReport.Add("reading_slowest_ms", reading);
    aReport.Require("reading_slowest_ms<=4000", reading <= kFoundWithinMs);
  }

  /// Whether the first run of each long request gave its answer.
  static auto AddLongWork(
    Cluster& aCluster,
    const std::map<std::string, std::vector<Record>>& aRecords,
    std::uint64_t aStartedAt, Report& aReport) -> void
  {
    std::map<std::string, std::uint64_t> firstRun;
    for (auto& target : aCluster.Targets()) {
      const auto journal = aCluster.Journal(target);
      for (const auto& run : journal["runs"]) {
        const auto at = run.value("at", std::uint64_t{ 0 });
        auto& first =
          firstRun.try_emplace(run.value("id", ""), at).first->second;
        first = std::min(first, at);
      }
    }
    double slowest = 0;
    for (const auto& record : aRecords.at("long")) {
      const auto ended = static_cast<double>(aStartedAt) +
                         record.startedAt * 1000 + record.latencyMs;
      slowest =
        std::max(slowest, ended - static_cast<double>(firstRun[record.id]));
    }
    aReport.Add("long_slowest_from_first_run_ms", slowest);
    aReport.Require("long work is not cut",
                    slowest <= kLongWorkMs + kLongWorkSlackMs);
  }
};

const Registration<ScenarioRegistry, SilentConnections> kRegistration(
  "silent-connections");

} // namespace

} // namespace bramleylock::measure
