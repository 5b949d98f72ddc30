// Scenarios "control-slope" and "control-loss": the cost of the control plane
// per node for 8 to 128 balancers without load, and the time until an edit
// reaches all of them; and "control-flat", which compares the control traffic
// of two fleet sizes.

#include "measure/ProcessUse.h"
#include "measure/Scenario.h"
#include "measure/Views.h"

#include <algorithm>
#include <thread>

namespace bramleylock::measure {

static constexpr int kDefaultNodes = 8;
static constexpr double kSettleSeconds = 8;

/// Updates about a member that joined are gossiped for a time that is
/// proportional to the number of members in its failure domain.
static constexpr double kGossipSecondsPerMember = 0.5;

static constexpr double kMeasurementSeconds = 12;
static constexpr int kEdits = 5;
static constexpr double kEditLimitSeconds = 4;
static constexpr double kEditTimeoutSeconds = 10;
static constexpr double kKilobytesPerSecondLimit = 17;
static constexpr double kCpuPercentLimit = 1.8;
static constexpr double kMemoryLimitMb = 128;
static constexpr double kPacketLoss = 0.1;
static constexpr int kSmallFleet = 32;
static constexpr int kLargeFleet = 128;
static constexpr double kFlatRatioLimit = 1.1;

namespace {

/// Resources that one balancer has used since its start.
struct Usage
{
  double bytes = 0;
  double cpuSeconds = 0;
  double memoryMb = 0;
  double storeCalls = 0;
};

auto UsageOf(Cluster& aCluster, BalancerProcess& aBalancer) -> Usage
{
  const auto status = aCluster.Admin(aBalancer, "GET", "/status");
  const auto counters = aCluster.Admin(aBalancer, "GET", "/counters");
  const auto use = ReadProcessUse(aBalancer.process->Id());
  return { status.value("peer_bytes_sent", 0.0) +
             status.value("peer_bytes_received", 0.0),
           use.cpuSeconds, use.residentBytes / 1e6,
           counters.value("store_calls", 0.0) };
}

auto MedianOf(std::vector<double> aValues) -> double
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

auto SecondsSince(Clock::time_point aFrom) -> double
{
  return std::chrono::duration<double>(Clock::now() - aFrom).count();
}

auto MaxOf(const std::vector<double>& aValues) -> double
{
  return *std::max_element(aValues.begin(), aValues.end());
}

/// Cost of the control plane of each node over a time window.
struct NodeCosts
{
  std::vector<double> kilobytesPerSecond;
  std::vector<double> cpuPercent;
  std::vector<double> memoryMb;
  /// Sum over the whole fleet.
  double platformCallsPerSecond = 0;
};

auto MeasureCosts(Cluster& aCluster, double aSeconds) -> NodeCosts
{
  std::vector<Usage> before;
  std::vector<Clock::time_point> from;
  for (auto& balancer : aCluster.Balancers()) {
    before.push_back(UsageOf(aCluster, balancer));
    from.push_back(Clock::now());
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  NodeCosts costs;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto now = UsageOf(aCluster, aCluster.Balancers()[i]);
    const double seconds = SecondsSince(from[i]);
    costs.kilobytesPerSecond.push_back((now.bytes - before[i].bytes) / seconds /
                                       1000);
    costs.cpuPercent.push_back((now.cpuSeconds - before[i].cpuSeconds) /
                               seconds * 100);
    costs.memoryMb.push_back(now.memoryMb);
    costs.platformCallsPerSecond +=
      (now.storeCalls - before[i].storeCalls) / seconds;
  }
  return costs;
}

/// Costs of a fleet while its members join, and in the steady state.
struct FleetCosts
{
  NodeCosts joining;
  NodeCosts steadyState;
};

/// Measures from kSettleSeconds after the start until the updates about all
/// members have been gossiped, and then in the steady state.
auto MeasureFleet(Cluster& aCluster, std::size_t aFailureDomains) -> FleetCosts
{
  std::this_thread::sleep_for(std::chrono::duration<double>(kSettleSeconds));
  const auto members = static_cast<double>(aCluster.Balancers().size()) /
                       static_cast<double>(aFailureDomains);
  FleetCosts costs;
  costs.joining = MeasureCosts(aCluster, kGossipSecondsPerMember * members);
  costs.steadyState = MeasureCosts(aCluster, kMeasurementSeconds);
  return costs;
}

class ControlSlope : public Scenario
{
public:
  explicit ControlSlope(double aPacketLoss = 0)
    : m_packetLoss(aPacketLoss)
  {
  }

  auto Summary() const -> std::string override
  {
    return m_packetLoss > 0
             ? "control-slope with 10 % packet loss on the peer links"
             : "control-plane cost per node for --nodes balancers without load";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.balancers = aOptions.nodes > 0 ? aOptions.nodes : kDefaultNodes;
    options.hosts = 1;
    options.proxied = m_packetLoss > 0;
    Cluster cluster(*aOptions.deployment, options);
    cluster.Start();
    if (m_packetLoss > 0) {
      cluster.SetPacketLoss(m_packetLoss);
    }
    aReport.Add("nodes", static_cast<std::uint64_t>(options.balancers));
    AddCosts(MeasureFleet(cluster, aOptions.deployment->failureDomains.size()),
             aReport);
    MeasureEdits(cluster, aReport);
    for (const auto* name :
         { "member_probes", "member_probes_failed", "member_suspected",
           "member_died", "member_refuted", "member_syncs", "peer_link_opened",
           "peer_link_lost", "domains_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
  }

private:
  static auto AddCosts(const FleetCosts& aCosts, Report& aReport) -> void
  {
    const auto& joining = aCosts.joining.kilobytesPerSecond;
    aReport.Add("joining_kb_s_median", MedianOf(joining));
    aReport.Add("joining_kb_s_max", MaxOf(joining));
    aReport.Require("joining_kb_s_max<=17",
                    MaxOf(joining) <= kKilobytesPerSecondLimit);
    const auto& steady = aCosts.steadyState;
    aReport.Add("node_kb_s_median", MedianOf(steady.kilobytesPerSecond));
    aReport.Add("node_kb_s_max", MaxOf(steady.kilobytesPerSecond));
    aReport.Add("node_cpu_percent_median", MedianOf(steady.cpuPercent));
    aReport.Add("node_cpu_percent_max", MaxOf(steady.cpuPercent));
    aReport.Add("node_memory_mb_max", MaxOf(steady.memoryMb));
    aReport.Add("platform_calls_s", steady.platformCallsPerSecond);
    aReport.Require("node_kb_s_max<=17", MaxOf(steady.kilobytesPerSecond) <=
                                           kKilobytesPerSecondLimit);
    aReport.Require("node_cpu_percent_median<=1.8",
                    MedianOf(steady.cpuPercent) <= kCpuPercentLimit);
    aReport.Require("node_memory_mb_max<=128",
                    MaxOf(steady.memoryMb) <= kMemoryLimitMb);
  }

  static auto MeasureEdits(Cluster& aCluster, Report& aReport) -> void
  {
    std::vector<double> untilAll;
    std::vector<double> untilEach;
    for (int i = 0; i < kEdits; ++i) {
      auto& balancers = aCluster.Balancers();
      auto& editor = balancers[static_cast<std::size_t>(i) % balancers.size()];
      const auto from = Clock::now();
      const auto revision = EditWeight(aCluster, editor, 2 + i);
      aReport.Require("edit accepted", revision > 0);
      const auto seconds = PropagationSeconds(aCluster, revision, from);
      untilEach.insert(untilEach.end(), seconds.begin(), seconds.end());
      untilAll.push_back(*std::max_element(seconds.begin(), seconds.end()));
    }
    const auto slowest = *std::max_element(untilAll.begin(), untilAll.end());
    aReport.Add("edit_node_median_s", MedianOf(untilEach));
    aReport.Add("edit_everywhere_median_s", MedianOf(untilAll));
    aReport.Add("edit_everywhere_max_s", slowest);
    aReport.Require("edit_everywhere_max_s<=4", slowest <= kEditLimitSeconds);
  }

  /// Seconds until each balancer held aRevision; kEditTimeoutSeconds for those
  /// that did not.
  static auto PropagationSeconds(Cluster& aCluster, std::uint64_t aRevision,
                                 Clock::time_point aFrom) -> std::vector<double>
  {
    std::vector<double> seconds;
    std::vector<BalancerProcess*> waiting;
    for (auto& balancer : aCluster.Balancers()) {
      waiting.push_back(&balancer);
    }
    while (!waiting.empty() && SecondsSince(aFrom) < kEditTimeoutSeconds) {
      std::erase_if(waiting, [&](BalancerProcess* aBalancer) {
        const auto status = aCluster.Admin(*aBalancer, "GET", "/status");
        const auto held = status.value("lists_revision", std::uint64_t{ 0 });
        if (held >= aRevision) {
          seconds.push_back(SecondsSince(aFrom));
        }
        return held >= aRevision;
      });
    }
    seconds.resize(aCluster.Balancers().size(), kEditTimeoutSeconds);
    return seconds;
  }

  double m_packetLoss;
};

class ControlLoss : public ControlSlope
{
public:
  ControlLoss()
    : ControlSlope(kPacketLoss)
  {
  }
};

class ControlFlat : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "control bytes per node without load, 32 balancers against --nodes";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const int large = aOptions.nodes > 0 ? aOptions.nodes : kLargeFleet;
    const double smallFleet = MedianInSteadyState(aOptions, kSmallFleet);
    const double largeFleet = MedianInSteadyState(aOptions, large);
    aReport.Add("nodes", static_cast<std::uint64_t>(large));
    aReport.Add("small_fleet_kb_s_median", smallFleet);
    aReport.Add("large_fleet_kb_s_median", largeFleet);
    aReport.Add("kb_s_ratio", largeFleet / smallFleet);
    aReport.Require("kb_s_ratio<=1.1",
                    largeFleet <= smallFleet * kFlatRatioLimit);
  }

private:
  static auto MedianInSteadyState(const ScenarioOptions& aOptions,
                                  int aBalancers) -> double
  {
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.balancers = aBalancers;
    options.hosts = 1;
    Cluster cluster(*aOptions.deployment, options);
    cluster.Start();
    const auto costs =
      MeasureFleet(cluster, aOptions.deployment->failureDomains.size());
    return MedianOf(costs.steadyState.kilobytesPerSecond);
  }
};

const Registration<ScenarioRegistry, ControlFlat> kFlat("control-flat");
const Registration<ScenarioRegistry, ControlSlope> kSlope("control-slope");
const Registration<ScenarioRegistry, ControlLoss> kLossy("control-loss");

} // namespace

} // namespace bramleylock::measure
