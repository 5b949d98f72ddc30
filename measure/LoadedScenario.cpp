// Common steps of the scenarios that run under load.

#include "measure/LoadedScenario.h"

#include <thread>

namespace bramleylock::measure {

static constexpr Milliseconds kPollInterval{ 10 };

LoadedScenario::LoadedScenario(double aSeconds)
  : m_seconds(aSeconds)
{
}

auto LoadedScenario::Run(const ScenarioOptions& aOptions, Report& aReport)
  -> void
{
  const auto& deployment = *aOptions.deployment;
  const double seconds = aOptions.seconds > 0 ? aOptions.seconds : m_seconds;
  Cluster cluster(deployment, Options(aOptions));
  cluster.Start();
  Prepare(cluster, aReport);
  Load load(cluster.CallerAddress(), aOptions.seed);
  AddLoad(load, deployment, seconds);
  const ScenarioContext context{ deployment, seconds, cluster, load };
  load.Start();
  RunDuringLoad(context, aReport);
  load.Join();
  const auto checks = CheckRecords(load.Records(), cluster);
  aReport.AddChecks(checks);
  Evaluate(context, checks, aReport);
  aReport.AddReasons(load.Records());
  aReport.AddLatencies(load.Records());
}

auto LoadedScenario::Options(const ScenarioOptions& aOptions) const
  -> ClusterOptions
{
  return { aOptions.seed, {}, aOptions.nodes, 0 };
}

auto LoadedScenario::Prepare(Cluster& /*aCluster*/, Report& /*aReport*/) -> void
{
}

auto LoadedScenario::RunDuringLoad(const ScenarioContext& /*aContext*/,
                                   Report& /*aReport*/) -> void
{
}

auto FixedSizeOptions(const ScenarioOptions& aOptions) -> ClusterOptions
{
  return { aOptions.seed, {}, 0, 0 };
}

auto WaitUntil(const Load& aLoad, double aSeconds) -> void
{
  while (aLoad.Elapsed() < aSeconds) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

auto DelayPackets(Cluster& aCluster, int aMilliseconds) -> void
{
  aCluster.SetFabricFault({ { "delay", 1.0 }, { "delay_ms", aMilliseconds } });
}

auto AddCounters(Cluster& aCluster, const std::vector<const char*>& aNames,
                 Report& aReport) -> void
{
  for (const auto* name : aNames) {
    aReport.Add(name, aCluster.CounterSum(name));
  }
}

} // namespace bramleylock::measure
