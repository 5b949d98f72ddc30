// Scenario "forwarding": the cost of forwarding packets to the owners of their
// flows, measured with the same load on a growing number of balancers.

#include "measure/ProcessUse.h"
#include "measure/Scenario.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 4;
static constexpr double kRequestsPerSecond = 1500;
static constexpr int kRequestsPerFlow = 20;
static constexpr int kHosts = 4;
static constexpr Milliseconds kIdlePeriod{ 2000 };

namespace {

class Forwarding : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "CPU time per forwarded packet, with 1 to 8 balancers";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    std::vector<Point> points;
    for (const int balancers : { 1, 2, 4, 8 }) {
      points.push_back(Measure(aOptions, balancers, aReport));
    }
    const auto fit = FitLine(points);
    aReport.Add("forward_us_per_packet", fit.slope);
    aReport.Add("request_us_without_forwarding", fit.intercept);
    aReport.Add("forward_r2", fit.rSquared);
  }

private:
  /// Returns forwarded packets and CPU microseconds per request.
  static auto Measure(const ScenarioOptions& aOptions, int aBalancers,
                      Report& aReport) -> Point
  {
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.settings["plugins"] = "admission = \"none\"\n";
    options.balancers = aBalancers;
    options.hosts = kHosts;
    Cluster cluster(*aOptions.deployment, options);
    cluster.Start();
    const auto idleBefore = BalancersCpu(cluster);
    std::this_thread::sleep_for(kIdlePeriod);
    const auto before = BalancersCpu(cluster);
    const auto idlePerSecond =
      (before - idleBefore) /
      std::chrono::duration<double>(kIdlePeriod).count();
    auto shape = aOptions.deployment->reading;
    shape.workMs = 0;
    shape.answerBytes = 40;
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add(
      { shape, kRequestsPerSecond, kRequestsPerFlow, 0, seconds, "read" });
    load.Start();
    load.Join();
    const auto cpu =
      BalancersCpu(cluster) - before - idlePerSecond * load.Elapsed();
    const auto checks = CheckRecords(load.Records(), cluster);
    const auto requests = static_cast<double>(checks.requests);
    const auto forwarded =
      static_cast<double>(cluster.CounterSum("packets_forwarded")) / requests;
    const auto microsecondsPerRequest = cpu * 1e6 / requests;
    aReport.Add(fmt::format("forwarded_per_request_{}", aBalancers), forwarded);
    aReport.Add(fmt::format("cpu_us_per_request_{}", aBalancers),
                microsecondsPerRequest);
    aReport.Require(fmt::format("answered_{}", aBalancers),
                    checks.answered == checks.requests);
    return { forwarded, microsecondsPerRequest };
  }
};

const Registration<ScenarioRegistry, Forwarding> kRegistration("forwarding");

} // namespace

} // namespace bramleylock::measure
