// The events of a forwarding soak.

#include "measure/ForwardFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr int kOrderHosts = 9;
static constexpr int kProofHosts = 3;
static constexpr Milliseconds kKilledWithin{ 5000 };
static constexpr double kLookEverySeconds = 0.5;
static constexpr Milliseconds kPollStop{ 100 };

/// The platform kills what has not stopped after this long.
static constexpr double kStopLimitSeconds = 6;

/// How long the store lists a host that crashed: three renewals of 1.2 s.
static constexpr double kListedAfterCrash = 3.6;

/// When the address of a host that ended may be another's.
static constexpr double kReusedAfter = 2;

/// How long a host serves on after it said that it drains, at least.
static constexpr double kDrainSeconds = 3;

/// What no fault may bring about, by the report of the stand-in. That a packet
/// comes to a host which it was not meant for is none of these: an address may
/// get a new host while the store is away, and the host then drops the packet.
static constexpr std::array<const char*, 6> kPromises{ "wrong",
                                                       "altered",
                                                       "ran_twice",
                                                       "not_run_untrue",
                                                       "ran_at_other_service",
                                                       "cut_by_balancer" };

ForwardFaults::ForwardFaults(ForwardFleet& aFleet, std::uint64_t aSeed)
  : m_fleet(aFleet)
  , m_random(aSeed)
  , m_startedAt(Clock::now())
  , m_schedule(Kinds(), m_random, [this] { return Elapsed(); })
{
}

auto ForwardFaults::Kinds() -> std::vector<FaultKind>
{
  return {
    { "kill", [this] { KillBalancer(); } },
    { "stop", [this] { StopBalancer(); } },
    { "pause", [this] { PauseBalancer(); } },
    { "reload", [this] { ReloadBalancer(); } },
    { "kill_all", [this] { KillAll(); } },
    { "store_down",
      [this] {
        HarmStore({ { "status", 503 } });
      } },
    { "store_limits",
      [this] {
        HarmStore({ { "status", 429 } });
      } },
    { "store_silent",
      [this] {
        HarmStore({ { "silent", true } });
      } },
    { "store_slow",
      [this] {
        HarmStore({ { "slow_ms", 200 } });
      } },
    { "store_lost",
      [this] {
        HarmStore({ { "lose_answers", 3 } });
      } },
    { "lapse", [this] { LapseEntries(); } },
    { "compact", [this] { DrainInTheGap(); } },
    { "host_silent", [this] { SilenceHost(); } },
    { "host_crash", [this] { CrashHost(); } },
    { "host_again", [this] { StartHostAgain(); } },
    { "host_drain", [this] { DrainHost(); } },
    { "host_reuse", [this] { ReuseAddress(); } },
    { "host_spoilt", [this] { SpoilEntry(); } },
    { "storm", [this] { StormConfigurations(); } },
    { "route", [this] { DropRoute(); } },
    { "cut", [this] { CutDomain(); } },
    { "cut_store", [this] { CutStore(); } },
    { "cut_one_way", [this] { CutOneWay(); } },
    { "links", [this] { HarmLinks(); } },
    { "forget", [this] { m_fleet.ForgetConnections(); } },
    { "forged", [this] { SendForged(); } },
  };
}

auto ForwardFaults::Elapsed() const -> double
{
  return InSeconds(Clock::now() - m_startedAt);
}

auto ForwardFaults::After(double aSeconds, std::function<void()> aEnd) -> void
{
  m_schedule.EndAt(Elapsed() + aSeconds, std::move(aEnd));
}

auto ForwardFaults::Run(double aSeconds) -> void
{
  m_schedule.Run(Elapsed() + aSeconds, [this] {
    if (Elapsed() >= m_nextLook) {
      Look();
      m_nextLook = Elapsed() + kLookEverySeconds;
    }
  });
  m_schedule.Calm();
}

auto ForwardFaults::Counts() const
  -> const std::map<std::string, std::uint64_t>&
{
  return m_schedule.Counts();
}

auto ForwardFaults::Broken() const -> const std::vector<std::string>&
{
  return m_broken;
}

auto ForwardFaults::NoteBroken(const std::string& aWhat) -> void
{
  fmt::print(stderr, "at {:.3f} s: broken: {}\n", Elapsed(), aWhat);
  m_broken.push_back(aWhat);
}

auto ForwardFaults::LookAtReport() -> void
{
  const auto report = m_fleet.Ask("report");
  for (const auto* name : kPromises) {
    const auto count = report.value(name, std::uint64_t{ 0 });
    if (count > m_lastReport[name]) {
      NoteBroken(fmt::format("{}={}", name, count));
    }
    m_lastReport[name] = count;
  }
}

auto ForwardFaults::LookAtBalancers() -> void
{
  for (auto& vm : m_fleet.Vms()) {
    if (m_metVms.contains(vm.name)) {
      continue;
    }
    if (!vm.process->Running()) {
      NoteBroken(vm.name + " ended by itself");
      Start(vm);
      continue;
    }
    const auto version = m_fleet.Metric(vm, "routes_version");
    auto& highest = m_versions[vm.process->Id()];
    if (version && *version < highest) {
      NoteBroken(fmt::format("{} went back from version {} to {}", vm.name,
                             highest, *version));
    }
    highest = std::max(highest, version.value_or(0));
  }
}

auto ForwardFaults::Look() -> void
{
  LookAtReport();
  LookAtBalancers();
}

auto ForwardFaults::AddHost(const std::string& aService,
                            const std::string& aDomain, int aAddress) -> void
{
  m_hosts.push_back({ fmt::format("h-{:04x}", m_nextHost++), aService, aDomain,
                      aAddress, false });
  StartHost(m_hosts.back());
}

auto ForwardFaults::StartHost(const Host& aHost) -> void
{
  m_fleet.Ask("host", { { "id", aHost.id },
                        { "service", aHost.service },
                        { "failure_domain", aHost.failureDomain },
                        { "at", aHost.address } });
}

auto ForwardFaults::StartHosts() -> void
{
  const auto& domains = m_fleet.FailureDomains();
  for (int i = 0; i < kOrderHosts + kProofHosts; ++i) {
    AddHost(i < kOrderHosts ? "orders" : "proofs",
            domains[static_cast<std::size_t>(i) % domains.size()], m_nextHost);
  }
}

auto ForwardFaults::AnyOrderHost() -> std::string
{
  for (const auto& host : m_hosts) {
    if (!host.met && host.service == "orders") {
      return host.id;
    }
  }
  throw std::logic_error("every host was met by an event");
}

auto ForwardFaults::AnyBalancer() -> ForwardVm*
{
  std::vector<ForwardVm*> calm;
  for (auto& vm : m_fleet.Vms()) {
    if (!m_metVms.contains(vm.name)) {
      calm.push_back(&vm);
    }
  }
  // Somebody has to be left to take the routers' packets.
  return calm.size() < 3 ? nullptr : calm[m_random() % calm.size()];
}

auto ForwardFaults::AnyHost() -> Host*
{
  std::vector<Host*> calm;
  for (auto& host : m_hosts) {
    if (!host.met) {
      calm.push_back(&host);
    }
  }
  return calm.size() < 6 ? nullptr : calm[m_random() % calm.size()];
}

auto ForwardFaults::AnyDomain() -> std::string
{
  const auto& domains = m_fleet.FailureDomains();
  return domains[m_random() % domains.size()];
}

auto ForwardFaults::Harm(const std::string& aHost, const char* aFault) -> void
{
  m_fleet.Ask("host-fault", { { "id", aHost }, { "fault", aFault } });
}

auto ForwardFaults::Forget(const std::string& aHost) -> void
{
  std::erase_if(m_hosts,
                [&aHost](const Host& aEach) { return aEach.id == aHost; });
}

auto ForwardFaults::Start(ForwardVm& aVm) -> void
{
  m_fleet.StartBalancer(aVm);
  m_metVms.erase(aVm.name);
}

auto ForwardFaults::KillBalancer() -> void
{
  auto* vm = AnyBalancer();
  if (vm == nullptr) {
    return;
  }
  m_metVms.insert(vm->name);
  vm->process->Signal(SIGKILL);
  vm->process->Wait(kKilledWithin);
  After(0.3 + static_cast<double>(m_random() % 1500) / 1000,
        [this, vm] { Start(*vm); });
}

auto ForwardFaults::StopBalancer() -> void
{
  auto* vm = AnyBalancer();
  if (vm == nullptr) {
    return;
  }
  m_metVms.insert(vm->name);
  vm->process->Signal(SIGTERM);
  After(0.2, [this, vm, since = Elapsed()] { AwaitStop(*vm, since); });
}

auto ForwardFaults::AwaitStop(ForwardVm& aVm, double aSince) -> void
{
  if (!aVm.process->Running()) {
    Start(aVm);
    return;
  }
  if (Elapsed() - aSince > kStopLimitSeconds) {
    NoteBroken(aVm.name + " did not stop in time");
    aVm.process->Signal(SIGKILL);
    aVm.process->Wait(kKilledWithin);
    Start(aVm);
    return;
  }
  // At the end of the soak this waits here, since all endings come at once.
  aVm.process->Wait(kPollStop);
  After(0, [this, &aVm, aSince] { AwaitStop(aVm, aSince); });
}

auto ForwardFaults::PauseBalancer() -> void
{
  auto* vm = AnyBalancer();
  if (vm == nullptr) {
    return;
  }
  m_metVms.insert(vm->name);
  vm->process->Signal(SIGSTOP);
  After(1 + static_cast<double>(m_random() % 3000) / 1000, [this, vm] {
    vm->process->Signal(SIGCONT);
    m_metVms.erase(vm->name);
  });
}

auto ForwardFaults::ReloadBalancer() -> void
{
  auto* vm = AnyBalancer();
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
    if (m_metVms.insert(vm.name).second) {
      vm.process->Signal(SIGKILL);
      killed.push_back(&vm);
    }
  }
  for (auto* vm : killed) {
    vm->process->Wait(kKilledWithin);
  }
  After(1, [this, killed] {
    for (auto* vm : killed) {
      Start(*vm);
    }
  });
}

auto ForwardFaults::HarmStore(const json& aFault) -> void
{
  ++m_storeFaults;
  m_fleet.Ask("store", aFault);
  After(3 + static_cast<double>(m_random() % 3000) / 1000, [this] {
    if (--m_storeFaults == 0) {
      m_fleet.Ask("store");
    }
  });
}

/// The store is away, entries lapse meanwhile, and are back a second after it.
auto ForwardFaults::LapseEntries() -> void
{
  std::vector<std::string> lapsed;
  for (auto& host : m_hosts) {
    if (!host.met && m_random() % 2 == 0) {
      host.met = true;
      lapsed.push_back(host.id);
    }
  }
  ++m_storeFaults;
  m_fleet.Ask("store", { { "status", 503 } });
  After(1, [this, lapsed] {
    for (const auto& id : lapsed) {
      Harm(id, "unlisted");
    }
    After(2, [this, lapsed] {
      if (--m_storeFaults == 0) {
        m_fleet.Ask("store");
      }
      After(1, [this, lapsed] {
        for (const auto& id : lapsed) {
          Harm(id, "listed");
        }
        for (auto& host : m_hosts) {
          const bool back =
            std::find(lapsed.begin(), lapsed.end(), host.id) != lapsed.end();
          host.met = host.met && !back;
        }
      });
    });
  });
}

auto ForwardFaults::DrainInTheGap() -> void
{
  DrainHost();
  m_fleet.Ask("compact");
}

auto ForwardFaults::SilenceHost() -> void
{
  auto* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  host->met = true;
  Harm(host->id, "dark");
  After(1 + static_cast<double>(m_random() % 2000) / 1000,
        [this, id = host->id] {
          Harm(id, "light");
          for (auto& each : m_hosts) {
            each.met = each.met && each.id != id;
          }
        });
}

/// Its entry stays for some seconds; another host takes its place elsewhere.
auto ForwardFaults::CrashHost() -> void
{
  auto* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  host->met = true;
  Harm(host->id, "crash");
  After(kListedAfterCrash, [this, crashed = *host] {
    m_fleet.Ask("unlist", { { "id", crashed.id } });
    Forget(crashed.id);
    AddHost(crashed.service, crashed.failureDomain, m_nextHost);
  });
}

auto ForwardFaults::StartHostAgain() -> void
{
  if (auto* host = AnyHost()) {
    StartHost(*host);
  }
}

/// The new one starts first, as in a release.
auto ForwardFaults::DrainHost() -> void
{
  auto* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  host->met = true;
  const auto leaving = *host;
  AddHost(leaving.service, leaving.failureDomain, m_nextHost);
  Harm(leaving.id, "drain");
  After(kDrainSeconds, [this, leaving] {
    Harm(leaving.id, "unlisted");
    // A draining host serves longer than its entry lives.
    After(2, [this, leaving] {
      Harm(leaving.id, "gone");
      Forget(leaving.id);
    });
  });
}

/// A host crashes for good; its address goes to the other service.
auto ForwardFaults::ReuseAddress() -> void
{
  auto* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  host->met = true;
  Harm(host->id, "crash");
  After(kListedAfterCrash, [this, ended = *host] {
    m_fleet.Ask("unlist", { { "id", ended.id } });
    Forget(ended.id);
    AddHost(ended.service, ended.failureDomain, m_nextHost);
    After(kReusedAfter, [this, ended] {
      AddHost(ended.service == "orders" ? "proofs" : "orders",
              ended.failureDomain, ended.address);
    });
  });
}

auto ForwardFaults::SpoilEntry() -> void
{
  auto* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  host->met = true;
  Harm(host->id, "spoilt");
  After(2, [this, id = host->id] {
    Harm(id, "listed");
    for (auto& each : m_hosts) {
      each.met = each.met && each.id != id;
    }
  });
}

auto ForwardFaults::StormConfigurations() -> void
{
  for (int i = 0; i < 10; ++i) {
    After(0.1 * i, [this] { m_fleet.Ask("configuration"); });
  }
}

auto ForwardFaults::DropRoute() -> void
{
  ++m_routeDrops;
  m_fleet.Ask("configuration", { { "orders_route", false } });
  After(2, [this] {
    if (--m_routeDrops == 0) {
      m_fleet.Ask("configuration", { { "orders_route", true } });
    }
  });
}

auto ForwardFaults::CutDomain() -> void
{
  const auto domain = AnyDomain();
  m_cutDomains.insert(domain);
  m_fleet.CutDomains({ m_cutDomains.begin(), m_cutDomains.end() });
  After(5, [this, domain] {
    m_cutDomains.erase(m_cutDomains.find(domain));
    m_fleet.CutDomains({ m_cutDomains.begin(), m_cutDomains.end() });
  });
}

auto ForwardFaults::CutStore() -> void
{
  const auto domain = AnyDomain();
  m_cutStores.insert(domain);
  m_fleet.CutStores({ m_cutStores.begin(), m_cutStores.end() });
  After(5, [this, domain] {
    m_cutStores.erase(m_cutStores.find(domain));
    m_fleet.CutStores({ m_cutStores.begin(), m_cutStores.end() });
  });
}

auto ForwardFaults::CutOneWay() -> void
{
  m_fleet.CutOneWay(AnyDomain(), AnyDomain());
  After(4, [this] { m_fleet.CutOneWay({}, {}); });
}

auto ForwardFaults::HarmLinks() -> void
{
  m_fleet.HarmLinks(0.1, 40);
  After(4, [this] { m_fleet.HarmLinks(0, 0); });
}

auto ForwardFaults::SendForged() -> void
{
  for (const int flags : { 0, 1, 16, 32, 64, 80, 255 }) {
    m_fleet.Ask("raw", { { "flags", flags },
                         { "tag", static_cast<std::uint32_t>(m_random()) } });
  }
  m_fleet.Ask("raw", { { "bytes", "no packet" } });
}

} // namespace bramleylock::measure
