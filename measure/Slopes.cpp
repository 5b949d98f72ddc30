// Scenario "slopes": how the cost of single mechanisms grows with their size,
// measured in this process with the library code. docs/CAPACITY.md uses the
// fits.

#include "measure/ProcessUse.h"
#include "measure/Scenario.h"

#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Target/TargetTable.h"
#include "bramleylock/Wire/Token.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr int kRepetitions = 5;

namespace {

/// The median CPU time of one run of aWork, in seconds.
template<typename Work>
auto MedianCpu(Work aWork) -> double
{
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    const auto before = OwnCpuSeconds();
    aWork();
    times.push_back(OwnCpuSeconds() - before);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

auto MakeLists(int aServices) -> std::string
{
  lists::PlanLists lists;
  for (int i = 0; i < aServices; ++i) {
    const auto plan = fmt::format("plan-{}", i);
    lists.plans[plan].secretHash = Blake2bHex(plan);
    auto& service = lists.services[fmt::format("service-{}", i)];
    service.plans = { plan };
    service.works["read"] = {};
  }
  return lists::FormatLists(lists);
}

/// Measures the size and the parsing of lists with one plan for each service.
auto MeasureLists(Report& aReport) -> void
{
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  for (const int services : { 200, 400, 800, 1600, 3200 }) {
    const auto document = MakeLists(services);
    bytes.push_back({ double(services), double(document.size()) });
    cpu.push_back({ double(services), MedianCpu([&document] {
                      std::error_code error;
                      std::string detail;
                      lists::ParseLists(document, error, detail);
                    }) });
  }
  const auto bytesFit = FitLine(bytes);
  const auto cpuFit = FitLine(cpu);
  aReport.Add("lists_bytes_per_service", bytesFit.slope);
  aReport.Add("lists_bytes_r2", bytesFit.rSquared);
  aReport.Add("lists_parse_us_per_service", cpuFit.slope * 1e6);
  aReport.Add("lists_parse_r2", cpuFit.rSquared);
}

/// Formats a change of one plan, as peers send it to each other.
auto MakeChange(std::uint64_t aRevision) -> std::string
{
  const auto edit = fmt::format("edit-{}", aRevision);
  lists::PlanLists change;
  change.revision = aRevision;
  auto& plan = change.plans["plan-0"];
  plan.secretHash = Blake2bHex("plan-0");
  plan.ratePerSecond = static_cast<double>(aRevision);
  change.stamps["plans/plan-0"] = { aRevision, edit };
  change.edits.push_back({ edit, aRevision, 0, { "plans/plan-0" } });
  return lists::FormatLists(change);
}

/// Measures merging a changed entry into the lists in force.
auto MeasureChanges(Report& aReport) -> void
{
  std::vector<Point> cpu;
  for (const int services : { 200, 400, 800, 1600, 3200 }) {
    Metrics metrics;
    lists::ListReplica replica(metrics);
    replica.Install(MakeLists(services));
    std::uint64_t revision = 1;
    cpu.push_back({ double(services), MedianCpu([&replica, &revision] {
                      replica.Install(MakeChange(++revision));
                    }) });
  }
  const auto fit = FitLine(cpu);
  aReport.Add("lists_change_us_per_service", fit.slope * 1e6);
  aReport.Add("lists_change_us", fit.intercept * 1e6);
  aReport.Add("lists_change_r2", fit.rSquared);
}

auto MeasureTokens(Report& aReport) -> void
{
  wire::KeyRing ring;
  ring.Add(1, wire::GenerateSigningKey());
  const wire::FlowToken token{ "encomendas",     "guimaraes",
                               "127.0.0.1:8080", "127.0.0.1:7401",
                               NewIncarnation(), 1 };
  std::vector<Point> sign;
  std::vector<Point> verify;
  const auto text = ring.Sign(token, 1);
  for (const int count : { 20000, 40000, 80000 }) {
    sign.push_back({ double(count), MedianCpu([&] {
                       for (int i = 0; i < count; ++i) {
                         ring.Sign(token, 1);
                       }
                     }) });
    verify.push_back({ double(count), MedianCpu([&] {
                         std::error_code error;
                         for (int i = 0; i < count; ++i) {
                           ring.Verify(text, 1, error);
                         }
                       }) });
  }
  aReport.Add("token_bytes", static_cast<std::uint64_t>(text.size()));
  aReport.Add("token_sign_us", FitLine(sign).slope * 1e6);
  aReport.Add("token_verify_us", FitLine(verify).slope * 1e6);
  aReport.Add("token_r2", FitLine(verify).rSquared);
}

auto MakeTable(Metrics& aMetrics, asio::io_context& aContext)
  -> std::unique_ptr<target::TargetTable>
{
  return std::make_unique<target::TargetTable>(
    "domain", target::TransportRegistry::Instance().Create("http1", aContext),
    target::ChoiceRegistry::Instance().Create("two-choices"), aMetrics, 1);
}

/// Measures memory, the installation of a new list and one choice for the hosts
/// that one balancer knows. Each service has twelve hosts.
auto MeasureTargets(Report& aReport) -> void
{
  static constexpr int kHostsPerService = 12;
  static constexpr int kChoices = 200;
  std::vector<Point> memory;
  std::vector<Point> install;
  std::vector<Point> choose;
  for (const int hosts : { 1000, 2000, 4000, 8000 }) {
    Metrics metrics;
    asio::io_context context(1);
    std::vector<target::TargetListEntry> entries;
    entries.reserve(hosts);
    for (int i = 0; i < hosts; ++i) {
      entries.push_back({ fmt::format("10.0.{}.{}:8080", i / 256, i % 256),
                          fmt::format("service-{}", i / kHostsPerService),
                          "domain", false });
    }
    const auto before = OwnHeapBytes();
    auto table = MakeTable(metrics, context);
    install.push_back(
      { double(hosts), MedianCpu([&] { table->SetTargets(entries); }) });
    memory.push_back({ double(hosts), OwnHeapBytes() - before });
    choose.push_back({ double(hosts), MedianCpu([&] {
                                        for (int i = 0; i < kChoices; ++i) {
                                          table->Choose("service-0", {});
                                        }
                                      }) /
                                        kChoices });
  }
  aReport.Add("target_bytes_per_host", FitLine(memory).slope);
  aReport.Add("target_list_us_per_host", FitLine(install).slope * 1e6);
  aReport.Add("target_choice_us_per_host", FitLine(choose).slope * 1e6);
  aReport.Add("target_choice_r2", FitLine(choose).rSquared);
}

auto RunFor(asio::io_context& aContext, Milliseconds aTime) -> void
{
  aContext.restart();
  aContext.run_for(aTime);
}

/// Measures links from one hub to many others in this process, so that the
/// figures include both ends.
auto MeasureLinks(Report& aReport) -> void
{
  static constexpr Milliseconds kSettleTime{ 1500 };
  static constexpr Milliseconds kIdlePeriod{ 2000 };
  std::vector<Point> memory;
  std::vector<Point> opening;
  std::vector<Point> idle;
  for (const int links : { 50, 100, 200 }) {
    Metrics metrics;
    asio::io_context context(1);
    const peer::ClusterKey key{};
    const Tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    const auto before = OwnHeapBytes();
    std::vector<std::unique_ptr<peer::PeerHub>> hubs;
    for (int i = 0; i <= links; ++i) {
      hubs.push_back(
        std::make_unique<peer::PeerHub>(context, any, key, metrics));
      hubs.back()->On(wire::MessageType::Heartbeat,
                      [](const wire::Hello&, const std::string&) {});
      hubs.back()->Start(
        { fmt::format("vm-{}", i), "domain", hubs.back()->Address(), 1 });
    }
    const auto cpuBefore = OwnCpuSeconds();
    for (int i = 1; i <= links; ++i) {
      hubs[0]->SendMessage(hubs[i]->Address(), wire::MessageType::Heartbeat,
                           wire::Heartbeat{});
    }
    RunFor(context, kSettleTime);
    opening.push_back({ double(links), OwnCpuSeconds() - cpuBefore });
    memory.push_back({ double(links), OwnHeapBytes() - before });
    const auto idleBefore = OwnCpuSeconds();
    RunFor(context, kIdlePeriod);
    idle.push_back(
      { double(links), (OwnCpuSeconds() - idleBefore) /
                         std::chrono::duration<double>(kIdlePeriod).count() });
  }
  aReport.Add("link_bytes_both_ends", FitLine(memory).slope);
  aReport.Add("link_open_us_both_ends", FitLine(opening).slope * 1e6);
  aReport.Add("link_idle_us_per_second_both_ends", FitLine(idle).slope * 1e6);
  aReport.Add("link_r2", FitLine(memory).rSquared);
}

class Slopes : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "cost of single mechanisms by their size, for capacity planning";
  }

  auto Run(const ScenarioOptions&, Report& aReport) -> void override
  {
    MeasureLists(aReport);
    MeasureChanges(aReport);
    MeasureTokens(aReport);
    MeasureTargets(aReport);
    MeasureLinks(aReport);
  }
};

const Registration<ScenarioRegistry, Slopes> kRegistration("slopes");

} // namespace

} // namespace bramleylock::measure
