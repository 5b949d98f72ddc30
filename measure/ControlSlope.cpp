// Scenario "control-slope": what control costs a node, for 8 to 128 daemons
// without load, and how fast an edit reaches them.

#include "measure/Scenario.h"
#include "measure/Views.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

namespace bramleylock::measure {

static constexpr int kNodes = 8;
static constexpr double kSettleSeconds = 8;
static constexpr double kWindowSeconds = 12;
static constexpr int kEdits = 5;
static constexpr double kEditLimit = 4;
static constexpr double kEditGiveUp = 10;
static constexpr double kKilobytesLimit = 17;
static constexpr double kCpuPercentLimit = 1.8;
static constexpr double kMemoryLimitMb = 128;
static constexpr double kLoss = 0.1;

namespace {

/// What one daemon has used so far.
struct Usage
{
  double bytes = 0;
  double cpuSeconds = 0;
  double memoryMb = 0;
  double storeCalls = 0;
};

auto CpuSeconds(int aProcess) -> double
{
  std::ifstream file(fmt::format("/proc/{}/stat", aProcess));
  std::string text((std::istreambuf_iterator<char>(file)), {});
  // The name in brackets may hold blanks; fields 14 and 15 count from it.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    ticks += i >= 14 ? std::stod(field) : 0;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

auto MemoryMb(int aProcess) -> double
{
  std::ifstream file(fmt::format("/proc/{}/statm", aProcess));
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

auto UsageOf(Cluster& aCluster, BalancerProcess& aBalancer) -> Usage
{
  const auto status = aCluster.Admin(aBalancer, "GET", "/status");
  const auto counters = aCluster.Admin(aBalancer, "GET", "/counters");
  const int id = aBalancer.process->Id();
  return { status.value("peer_bytes_sent", 0.0) +
             status.value("peer_bytes_received", 0.0),
           CpuSeconds(id), MemoryMb(id), counters.value("store_calls", 0.0) };
}

auto MedianOf(std::vector<double> aValues) -> double
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

auto Since(Clock::time_point aFrom) -> double
{
  return std::chrono::duration<double>(Clock::now() - aFrom).count();
}

class ControlSlope : public Scenario
{
public:
  explicit ControlSlope(double aLoss = 0)
    : m_loss(aLoss)
  {
  }

  auto Summary() const -> std::string override
  {
    return m_loss > 0 ? "control-slope with a tenth of the packets lost"
                      : "control cost per node for --nodes daemons at rest";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.balancers = aOptions.nodes > 0 ? aOptions.nodes : kNodes;
    options.hosts = 1;
    options.proxied = m_loss > 0;
    Cluster cluster(*aOptions.deployment, options);
    cluster.Start();
    if (m_loss > 0) {
      cluster.LosePackets(m_loss);
    }
    aReport.Add("nodes", static_cast<std::uint64_t>(options.balancers));
    std::this_thread::sleep_for(std::chrono::duration<double>(kSettleSeconds));
    AtRest(cluster, aReport);
    Edits(cluster, aReport);
    for (const auto* name :
         { "member_probes", "member_probes_failed", "member_suspected",
           "member_died", "member_refuted", "member_syncs", "peer_link_opened",
           "peer_link_lost", "domains_lost" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
  }

private:
  static auto AtRest(Cluster& aCluster, Report& aReport) -> void
  {
    std::vector<Usage> before;
    std::vector<Clock::time_point> from;
    for (auto& balancer : aCluster.Balancers()) {
      before.push_back(UsageOf(aCluster, balancer));
      from.push_back(Clock::now());
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(kWindowSeconds));
    std::vector<double> kilobytes;
    std::vector<double> cpu;
    std::vector<double> memory;
    double calls = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
      const auto now = UsageOf(aCluster, aCluster.Balancers()[i]);
      const double seconds = Since(from[i]);
      kilobytes.push_back((now.bytes - before[i].bytes) / seconds / 1000);
      cpu.push_back((now.cpuSeconds - before[i].cpuSeconds) / seconds * 100);
      memory.push_back(now.memoryMb);
      calls += (now.storeCalls - before[i].storeCalls) / seconds;
    }
    const auto highest = [](const std::vector<double>& aValues) {
      return *std::max_element(aValues.begin(), aValues.end());
    };
    aReport.Add("node_kb_s_median", MedianOf(kilobytes));
    aReport.Add("node_kb_s_max", highest(kilobytes));
    aReport.Add("node_cpu_percent_median", MedianOf(cpu));
    aReport.Add("node_cpu_percent_max", highest(cpu));
    aReport.Add("node_memory_mb_max", highest(memory));
    aReport.Add("platform_calls_s", calls);
    aReport.Require("node_kb_s_max<=17", highest(kilobytes) <= kKilobytesLimit);
    aReport.Require("node_cpu_percent_median<=1.8",
                    MedianOf(cpu) <= kCpuPercentLimit);
    aReport.Require("node_memory_mb_max<=128",
                    highest(memory) <= kMemoryLimitMb);
  }

  static auto Edits(Cluster& aCluster, Report& aReport) -> void
  {
    std::vector<double> everywhere;
    std::vector<double> each;
    for (int i = 0; i < kEdits; ++i) {
      auto& balancers = aCluster.Balancers();
      auto& editor = balancers[static_cast<std::size_t>(i) % balancers.size()];
      const auto from = Clock::now();
      const auto revision = EditWeight(aCluster, editor, 2 + i);
      aReport.Require("edit accepted", revision > 0);
      const auto seconds = InForce(aCluster, revision, from);
      each.insert(each.end(), seconds.begin(), seconds.end());
      everywhere.push_back(*std::max_element(seconds.begin(), seconds.end()));
    }
    const auto slowest =
      *std::max_element(everywhere.begin(), everywhere.end());
    aReport.Add("edit_node_median_s", MedianOf(each));
    aReport.Add("edit_everywhere_median_s", MedianOf(everywhere));
    aReport.Add("edit_everywhere_max_s", slowest);
    aReport.Require("edit_everywhere_max_s<=4", slowest <= kEditLimit);
  }

  /// Seconds until aRevision was seen at each balancer.
  static auto InForce(Cluster& aCluster, std::uint64_t aRevision,
                      Clock::time_point aFrom) -> std::vector<double>
  {
    std::vector<double> seconds;
    std::vector<BalancerProcess*> waiting;
    for (auto& balancer : aCluster.Balancers()) {
      waiting.push_back(&balancer);
    }
    while (!waiting.empty() && Since(aFrom) < kEditGiveUp) {
      std::erase_if(waiting, [&](BalancerProcess* aBalancer) {
        const auto status = aCluster.Admin(*aBalancer, "GET", "/status");
        const auto held = status.value("lists_revision", std::uint64_t{ 0 });
        if (held >= aRevision) {
          seconds.push_back(Since(aFrom));
        }
        return held >= aRevision;
      });
    }
    seconds.resize(aCluster.Balancers().size(), kEditGiveUp);
    return seconds;
  }

  double m_loss;
};

class ControlLoss : public ControlSlope
{
public:
  ControlLoss()
    : ControlSlope(kLoss)
  {
  }
};

const Registration<ScenarioRegistry, ControlSlope> kSlope("control-slope");
const Registration<ScenarioRegistry, ControlLoss> kLossy("control-loss");

} // namespace

} // namespace bramleylock::measure
