// Scenario "speed": throughput, added latency and memory of one balancer on one
// core. It is a benchmark with goals, not a test: its figures depend on the
// machine.

#include "measure/ProcessUse.h"
#include "measure/Scenario.h"
#include "measure/Tasks.h"

#include "bramleylock/Target/TargetTransport.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 6;
static constexpr int kThreads = 3;
static constexpr int kCallersPerThread = 40;
static constexpr int kRequestsPerFlow = 4;
static constexpr int kOpenFlows = 100000;
static constexpr int kConcurrentOpenings = 200;
static constexpr int kSequentialCalls = 2000;
static constexpr int kHosts = 4;
static constexpr double kMinRequestsPerSecond = 20000;
static constexpr double kMinFlowsPerSecond = 5000;
static constexpr double kMaxAddedMedianMs = 0.3;
static constexpr double kMaxFlowBytes = 2048;

namespace {

struct Totals
{
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> flows{ 0 };
};

auto ServerOf(Cluster& aCluster) -> Udp::endpoint
{
  std::error_code error;
  return ParseUdpEndpoint(
    aCluster.Balancers().front().process->Value("callers"), error);
}

/// Makes calls without a pause until aUntil.
auto CallerLoop(caller::Client& aClient, const Deployment& aDeployment,
                Clock::time_point aUntil, Totals& aTotals) -> awaitable<void>
{
  const auto& shape = aDeployment.reading;
  while (Clock::now() < aUntil) {
    caller::Flow flow(aClient, shape.service, CredentialOf(shape.plan));
    ++aTotals.flows;
    for (int i = 0; i < kRequestsPerFlow; ++i) {
      caller::CallOptions options;
      options.work = shape.work;
      options.payload = "id=x ms=0 bytes=40";
      const auto result = co_await flow.Call(std::move(options));
      auto& total = result.outcome == caller::CallOutcome::Answered
                      ? aTotals.answered
                      : aTotals.failed;
      ++total;
    }
  }
}

/// Runs the coroutines of one thread to completion.
template<typename MakeTask>
auto RunThread(const Udp::endpoint& aServer, int aTasks, MakeTask aMakeTask)
  -> void
{
  asio::io_context context(1);
  caller::Client client(context, aServer);
  RunTasks(context, aTasks, [&](int) { return aMakeTask(client); });
  client.Close();
}

auto MeasureThroughput(Cluster& aCluster, const Deployment& aDeployment,
                       double aSeconds, Report& aReport) -> void
{
  auto& process = *aCluster.Balancers().front().process;
  Totals totals;
  const auto before = ReadProcessUse(process.Id());
  const auto packetsBefore = aCluster.CounterSum("packets_received") +
                             aCluster.CounterSum("packets_sent");
  const auto started = Clock::now();
  const auto until = started + std::chrono::duration_cast<Clock::duration>(
                                 std::chrono::duration<double>(aSeconds));
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      RunThread(ServerOf(aCluster), kCallersPerThread,
                [&](caller::Client& aClient) {
                  return CallerLoop(aClient, aDeployment, until, totals);
                });
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const double seconds =
    std::chrono::duration<double>(Clock::now() - started).count();
  const auto after = ReadProcessUse(process.Id());
  const auto packets = aCluster.CounterSum("packets_received") +
                       aCluster.CounterSum("packets_sent") - packetsBefore;
  const double cpu = after.cpuSeconds - before.cpuSeconds;
  const double answered = static_cast<double>(totals.answered);
  const double perSecond = answered / seconds;
  const double flowsPerSecond = static_cast<double>(totals.flows) / seconds;
  aReport.Add("requests", totals.answered + totals.failed);
  aReport.Add("failed", totals.failed.load());
  aReport.Add("requests_per_second", perSecond);
  aReport.Add("new_flows_per_second", flowsPerSecond);
  aReport.Add("packets_per_second", static_cast<double>(packets) / seconds);
  aReport.Add("cpu_share", cpu / seconds);
  aReport.Add("cpu_us_per_request", cpu * 1e6 / answered);
  aReport.Require("requests_per_second>=20000",
                  perSecond >= kMinRequestsPerSecond);
  aReport.Require("new_flows_per_second>=5000",
                  flowsPerSecond >= kMinFlowsPerSecond);
  aReport.Require("failed=0", totals.failed == 0);
}

auto MedianAndTail(std::vector<double>& aValues) -> std::pair<double, double>
{
  std::sort(aValues.begin(), aValues.end());
  return { aValues[aValues.size() / 2], aValues[aValues.size() * 99 / 100] };
}

auto SequentialThrough(caller::Client& aClient, const Deployment& aDeployment,
                       std::vector<double>& aLatencies) -> awaitable<void>
{
  const auto& shape = aDeployment.reading;
  caller::Flow flow(aClient, shape.service, CredentialOf(shape.plan));
  for (int i = 0; i < kSequentialCalls; ++i) {
    caller::CallOptions options;
    options.work = shape.work;
    options.payload = "id=x ms=0 bytes=40";
    const auto result = co_await flow.Call(std::move(options));
    aLatencies.push_back(
      std::chrono::duration<double, std::milli>(result.latency).count());
  }
}

auto SequentialDirect(asio::io_context& aContext, std::string aTarget,
                      std::vector<double>& aLatencies) -> awaitable<void>
{
  const auto transport =
    target::TransportRegistry::Instance().Create("http1", aContext);
  std::error_code error;
  const auto connection =
    co_await transport->Connect(aTarget, Milliseconds(1000), error);
  std::array<char, 256> buffer;
  for (int i = 0; i < kSequentialCalls && !error; ++i) {
    const auto started = Clock::now();
    target::TargetCall call;
    call.work = "queue";
    call.body = "id=x ms=0 bytes=40";
    call.deadline = started + std::chrono::seconds(5);
    co_await connection->Send(call, error);
    co_await connection->ReadHead(error);
    std::size_t size = 1;
    while (size > 0 && !error) {
      size = co_await connection->ReadSome(buffer.data(), buffer.size(), error);
    }
    aLatencies.push_back(
      std::chrono::duration<double, std::milli>(Clock::now() - started)
        .count());
  }
}

auto MeasureAddedLatency(Cluster& aCluster, const Deployment& aDeployment,
                         Report& aReport) -> void
{
  std::vector<double> direct;
  std::vector<double> through;
  asio::io_context context(1);
  Spawn(context, "direct",
        SequentialDirect(context,
                         aCluster.Targets().front().process->Value("target"),
                         direct));
  context.run();
  RunThread(ServerOf(aCluster), 1, [&](caller::Client& aClient) {
    return SequentialThrough(aClient, aDeployment, through);
  });
  const auto [directMedian, directTail] = MedianAndTail(direct);
  const auto [throughMedian, throughTail] = MedianAndTail(through);
  aReport.Add("direct_p50_ms", directMedian);
  aReport.Add("direct_p99_ms", directTail);
  aReport.Add("through_p50_ms", throughMedian);
  aReport.Add("through_p99_ms", throughTail);
  aReport.Add("added_p50_ms", throughMedian - directMedian);
  aReport.Add("added_p99_ms", throughTail - directTail);
  aReport.Require("added_p50_ms<0.3",
                  throughMedian - directMedian < kMaxAddedMedianMs);
}

/// Opens aCount flows, which stay open at the balancer.
auto OpenFlows(caller::Client& aClient, const Deployment& aDeployment,
               int aCount, std::vector<std::unique_ptr<caller::Flow>>& aFlows)
  -> awaitable<void>
{
  const auto& shape = aDeployment.reading;
  for (int i = 0; i < aCount; ++i) {
    auto flow = std::make_unique<caller::Flow>(aClient, shape.service,
                                               CredentialOf(shape.plan));
    caller::CallOptions options;
    options.work = shape.work;
    options.payload = "id=x ms=0 bytes=40";
    co_await flow->Call(std::move(options));
    aFlows.push_back(std::move(flow));
  }
}

auto MeasureFlowMemory(Cluster& aCluster, const Deployment& aDeployment,
                       Report& aReport) -> void
{
  auto& balancer = aCluster.Balancers().front();
  const auto before = ReadProcessUse(balancer.process->Id());
  const auto flowsBefore =
    aCluster.Admin(balancer, "GET", "/status").value("flows", 0.0);
  asio::io_context context(1);
  caller::Client client(context, ServerOf(aCluster));
  std::vector<std::unique_ptr<caller::Flow>> flows;
  RunTasks(context, kConcurrentOpenings, [&](int) {
    return OpenFlows(client, aDeployment, kOpenFlows / kConcurrentOpenings,
                     flows);
  });
  const double after = ReadProcessUse(balancer.process->Id()).residentBytes;
  const double flowsAfter =
    aCluster.Admin(balancer, "GET", "/status").value("flows", 0.0);
  client.Close();
  flows.clear();
  const double opened = flowsAfter - flowsBefore;
  const double bytes = (after - before.residentBytes) / std::max(1.0, opened);
  aReport.Add("flows_opened", opened);
  aReport.Add("bytes_per_flow", bytes);
  aReport.Add("resident_mb", after / 1e6);
  aReport.Require("bytes_per_flow<2048", bytes < kMaxFlowBytes);
  aReport.Require("flows_opened=100000", opened >= kOpenFlows);
}

class Speed : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "benchmark of one balancer: throughput, added latency, memory";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.settings["plugins"] = "admission = \"none\"\n";
    options.balancers = 1;
    options.hosts = kHosts;
    Cluster cluster(deployment, options);
    cluster.Start();
    MeasureAddedLatency(cluster, deployment, aReport);
    MeasureThroughput(cluster, deployment, seconds, aReport);
    MeasureFlowMemory(cluster, deployment, aReport);
  }
};

const Registration<ScenarioRegistry, Speed> kRegistration("speed");

} // namespace

} // namespace bramleylock::measure
