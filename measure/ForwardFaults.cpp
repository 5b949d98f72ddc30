// Fault events of the forwarding soak that affect balancers, links, the store
// and the routes, and the checks that run meanwhile. ForwardHostFaults.cpp
// holds the events that affect hosts.

#include "measure/ForwardFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr Milliseconds kKillTimeout{ 5000 };
static constexpr double kCheckIntervalSeconds = 0.5;
static constexpr Milliseconds kStopPollInterval{ 100 };
static constexpr double kSplitSeconds = 3;
static constexpr double kEvacuationSeconds = 4;

/// The platform kills a balancer that has not stopped within this time.
static constexpr double kStopLimitSeconds = 6;

/// Counts in the report of the platform's stand-in that no fault may raise. A
/// packet that reaches the wrong host is not among them: an address may be
/// assigned to a new host while the store is unavailable, and that host drops
/// the packet.
static constexpr std::array<const char*, 7> kViolationCounts{
  "wrong",
  "altered",
  "ran_twice",
  "not_run_untrue",
  "ran_at_other_service",
  "cut_by_balancer",
  "cut_by_other_host"
};

ForwardFaults::ForwardFaults(ForwardFleet& aFleet, std::uint64_t aSeed)
  : m_fleet(aFleet)
  , m_random(aSeed)
  , m_startedAt(Clock::now())
  , m_schedule(FaultKinds(), m_random, [this] { return Elapsed(); })
{
}

auto ForwardFaults::FaultKinds() -> std::vector<FaultKind>
{
  return {
    { "kill", [this] { KillBalancer(); } },
    { "stop", [this] { StopBalancer(); } },
    { "pause", [this] { PauseBalancer(); } },
    { "reload", [this] { ReloadBalancer(); } },
    { "kill_all", [this] { KillAll(); } },
    { "store_down",
      [this] {
        InjectStoreFault({ { "status", 503 } });
      } },
    { "store_limits",
      [this] {
        InjectStoreFault({ { "status", 429 } });
      } },
    { "store_silent",
      [this] {
        InjectStoreFault({ { "silent", true } });
      } },
    { "store_slow",
      [this] {
        InjectStoreFault({ { "slow_ms", 200 } });
      } },
    { "store_lost",
      [this] {
        InjectStoreFault({ { "lose_answers", 3 } });
      } },
    { "lapse", [this] { ExpireEntries(); } },
    { "compact", [this] { DrainDuringCompaction(); } },
    { "host_silent", [this] { SilenceHost(); } },
    { "host_crash", [this] { CrashHost(); } },
    { "host_again", [this] { RestartHost(); } },
    { "host_drain", [this] { DrainHost(); } },
    { "host_reuse", [this] { ReuseAddress(); } },
    { "host_spoilt", [this] { CorruptEntry(); } },
    { "storm", [this] { PublishConfigurationBurst(); } },
    { "route", [this] { DropRoute(); } },
    { "split", [this] { SplitRoute(); } },
    { "evacuate", [this] { EvacuateDomain(); } },
    { "cut", [this] { CutDomain(); } },
    { "cut_store", [this] { CutStore(); } },
    { "cut_one_way", [this] { CutOneWay(); } },
    { "links", [this] { InjectLinkFaults(); } },
    { "forget", [this] { m_fleet.BlackholeConnections(); } },
    { "forged", [this] { SendForgedPackets(); } },
  };
}

auto ForwardFaults::Elapsed() const -> double
{
  return InSeconds(Clock::now() - m_startedAt);
}

auto ForwardFaults::ScheduleEndAfter(double aSeconds,
                                     std::function<void()> aEnd) -> void
{
  m_schedule.ScheduleEnd(Elapsed() + aSeconds, std::move(aEnd));
}

auto ForwardFaults::Run(double aSeconds) -> void
{
  m_schedule.Run(Elapsed() + aSeconds, [this] {
    if (Elapsed() >= m_nextCheck) {
      CheckInvariants();
      m_nextCheck = Elapsed() + kCheckIntervalSeconds;
    }
  });
  m_schedule.EndAll();
}

auto ForwardFaults::Counts() const
  -> const std::map<std::string, std::uint64_t>&
{
  return m_schedule.Counts();
}

auto ForwardFaults::Violations() const -> const std::vector<std::string>&
{
  return m_violations;
}

auto ForwardFaults::RecordViolation(const std::string& aWhat) -> void
{
  fmt::print(stderr, "at {:.3f} s: invariant violated: {}\n", Elapsed(), aWhat);
  m_violations.push_back(aWhat);
}

auto ForwardFaults::CheckReport() -> void
{
  const auto report = m_fleet.ControlPlatform("report");
  for (const auto* name : kViolationCounts) {
    const auto count = report.value(name, std::uint64_t{ 0 });
    if (count > m_lastReport[name]) {
      RecordViolation(fmt::format("{}={}", name, count));
    }
    m_lastReport[name] = count;
  }
}

auto ForwardFaults::CheckBalancers() -> void
{
  for (auto& vm : m_fleet.Vms()) {
    if (m_affectedVms.contains(vm.name)) {
      continue;
    }
    if (!vm.process->Running()) {
      RecordViolation(vm.name + " exited unexpectedly");
      Start(vm);
      continue;
    }
    const auto version = m_fleet.Metric(vm, "routes_version");
    auto& highest = m_versions[vm.process->Id()];
    if (version && *version < highest) {
      RecordViolation(fmt::format("{} reverted from routes version {} to {}",
                                  vm.name, highest, *version));
    }
    highest = std::max(highest, version.value_or(0));
  }
}

auto ForwardFaults::CheckInvariants() -> void
{
  CheckReport();
  CheckBalancers();
}

auto ForwardFaults::PickBalancer() -> ForwardVm*
{
  std::vector<ForwardVm*> candidates;
  for (auto& vm : m_fleet.Vms()) {
    if (!m_affectedVms.contains(vm.name)) {
      candidates.push_back(&vm);
    }
  }
  // Some balancers must remain to receive the routers' packets.
  return candidates.size() < 3 ? nullptr
                               : candidates[m_random() % candidates.size()];
}

auto ForwardFaults::PickDomain() -> std::string
{
  const auto& domains = m_fleet.FailureDomains();
  return domains[m_random() % domains.size()];
}

auto ForwardFaults::Start(ForwardVm& aVm) -> void
{
  m_fleet.StartBalancer(aVm);
  m_affectedVms.erase(aVm.name);
}

auto ForwardFaults::KillBalancer() -> void
{
  auto* vm = PickBalancer();
  if (vm == nullptr) {
    return;
  }
  m_affectedVms.insert(vm->name);
  vm->process->Signal(SIGKILL);
  vm->process->Wait(kKillTimeout);
  ScheduleEndAfter(0.3 + static_cast<double>(m_random() % 1500) / 1000,
                   [this, vm] { Start(*vm); });
}

auto ForwardFaults::StopBalancer() -> void
{
  auto* vm = PickBalancer();
  if (vm == nullptr) {
    return;
  }
  m_affectedVms.insert(vm->name);
  vm->process->Signal(SIGTERM);
  ScheduleEndAfter(0.2,
                   [this, vm, since = Elapsed()] { AwaitStop(*vm, since); });
}

auto ForwardFaults::AwaitStop(ForwardVm& aVm, double aSince) -> void
{
  if (!aVm.process->Running()) {
    Start(aVm);
    return;
  }
  if (Elapsed() - aSince > kStopLimitSeconds) {
    RecordViolation(aVm.name + " did not stop within its time limit");
    aVm.process->Signal(SIGKILL);
    aVm.process->Wait(kKillTimeout);
    Start(aVm);
    return;
  }
  // At the end of the soak, scheduled ends run without a delay, so the wait is
  // here.
  aVm.process->Wait(kStopPollInterval);
  ScheduleEndAfter(0, [this, &aVm, aSince] { AwaitStop(aVm, aSince); });
}

auto ForwardFaults::PauseBalancer() -> void
{
  auto* vm = PickBalancer();
  if (vm == nullptr) {
    return;
  }
  m_affectedVms.insert(vm->name);
  vm->process->Signal(SIGSTOP);
  ScheduleEndAfter(1 + static_cast<double>(m_random() % 3000) / 1000,
                   [this, vm] {
                     vm->process->Signal(SIGCONT);
                     m_affectedVms.erase(vm->name);
                   });
}

auto ForwardFaults::ReloadBalancer() -> void
{
  auto* vm = PickBalancer();
  if (vm == nullptr) {
    return;
  }
  vm->logRecordsPerSecond = 50 + static_cast<int>(m_random() % 100);
  m_fleet.WriteSettings(*vm);
  vm->process->Signal(SIGHUP);
}

auto ForwardFaults::KillAll() -> void
{
  std::vector<ForwardVm*> killed;
  for (auto& vm : m_fleet.Vms()) {
    if (m_affectedVms.insert(vm.name).second) {
      vm.process->Signal(SIGKILL);
      killed.push_back(&vm);
    }
  }
  for (auto* vm : killed) {
    vm->process->Wait(kKillTimeout);
  }
  ScheduleEndAfter(1, [this, killed] {
    for (auto* vm : killed) {
      Start(*vm);
    }
  });
}

auto ForwardFaults::InjectStoreFault(const json& aFault) -> void
{
  ++m_storeFaults;
  m_fleet.ControlPlatform("store", aFault);
  ScheduleEndAfter(3 + static_cast<double>(m_random() % 3000) / 1000, [this] {
    if (--m_storeFaults == 0) {
      m_fleet.ControlPlatform("store");
    }
  });
}

auto ForwardFaults::PublishConfigurationBurst() -> void
{
  for (int i = 0; i < 10; ++i) {
    ScheduleEndAfter(0.1 * i,
                     [this] { m_fleet.ControlPlatform("configuration"); });
  }
}

auto ForwardFaults::DropRoute() -> void
{
  ++m_routeDrops;
  m_fleet.ControlPlatform("configuration", { { "orders_route", false } });
  ScheduleEndAfter(2, [this] {
    if (--m_routeDrops == 0) {
      m_fleet.ControlPlatform("configuration", { { "orders_route", true } });
    }
  });
}

/// Splits a route over two services for some seconds. Clients keep some flows
/// to the second service for longer.
auto ForwardFaults::SplitRoute() -> void
{
  ++m_routeSplits;
  m_fleet.ControlPlatform(
    "configuration",
    { { "list_backends",
        { { { "service", "orders" }, { "weight", 1 + m_random() % 3 } },
          { { "service", "archive" }, { "weight", 1 + m_random() % 3 } } } } });
  ScheduleEndAfter(kSplitSeconds, [this] {
    if (--m_routeSplits == 0) {
      m_fleet.ControlPlatform("configuration",
                              { { "list_backends", json::array() } });
    }
  });
}

/// Evacuates a failure domain unless it would be the last one.
auto ForwardFaults::EvacuateDomain() -> void
{
  const auto domain = PickDomain();
  auto evacuated = std::set(m_evacuations.begin(), m_evacuations.end());
  evacuated.insert(domain);
  if (evacuated.size() == m_fleet.FailureDomains().size()) {
    return;
  }
  m_evacuations.insert(domain);
  m_fleet.ControlPlatform("evacuate", { { "failure_domain", domain } });
  ScheduleEndAfter(kEvacuationSeconds, [this, domain] {
    m_evacuations.erase(m_evacuations.find(domain));
    if (!m_evacuations.contains(domain)) {
      m_fleet.ControlPlatform(
        "evacuate", { { "failure_domain", domain }, { "evacuated", false } });
    }
  });
}

auto ForwardFaults::CutDomain() -> void
{
  const auto domain = PickDomain();
  m_cutDomains.insert(domain);
  m_fleet.CutDomains({ m_cutDomains.begin(), m_cutDomains.end() });
  ScheduleEndAfter(5, [this, domain] {
    m_cutDomains.erase(m_cutDomains.find(domain));
    m_fleet.CutDomains({ m_cutDomains.begin(), m_cutDomains.end() });
  });
}

auto ForwardFaults::CutStore() -> void
{
  const auto domain = PickDomain();
  m_cutStores.insert(domain);
  m_fleet.CutStores({ m_cutStores.begin(), m_cutStores.end() });
  ScheduleEndAfter(5, [this, domain] {
    m_cutStores.erase(m_cutStores.find(domain));
    m_fleet.CutStores({ m_cutStores.begin(), m_cutStores.end() });
  });
}

auto ForwardFaults::CutOneWay() -> void
{
  m_fleet.CutOneWay(PickDomain(), PickDomain());
  ScheduleEndAfter(4, [this] { m_fleet.CutOneWay({}, {}); });
}

auto ForwardFaults::InjectLinkFaults() -> void
{
  m_fleet.InjectLinkFaults(0.1, 40);
  ScheduleEndAfter(4, [this] { m_fleet.InjectLinkFaults(0, 0); });
}

auto ForwardFaults::SendForgedPackets() -> void
{
  for (const int flags : { 0, 1, 16, 32, 64, 80, 255 }) {
    m_fleet.ControlPlatform(
      "raw", { { "flags", flags },
               { "tag", static_cast<std::uint32_t>(m_random()) } });
  }
  m_fleet.ControlPlatform("raw", { { "bytes", "no packet" } });
}

} // namespace bramleylock::measure
