// The events of a forwarding soak that meet the hosts and their entries.

#include "measure/ForwardFaults.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr int kOrderHosts = 9;
static constexpr int kProofHosts = 3;

/// Hosts that events leave alone, so that some always serve.
static constexpr std::size_t kHostsLeft = 6;

/// How long the store lists a host that crashed: three renewals of 1.2 s.
static constexpr double kListedAfterCrash = 3.6;

/// When the address of a host that ended may be another's.
static constexpr double kReusedAfter = 2;

/// How long a host serves on after it said that it drains, at least.
static constexpr double kDrainSeconds = 3;

auto ForwardFaults::AddHost(const std::string& aService,
                            const std::string& aDomain, int aAddress) -> void
{
  m_hosts.push_back({ fmt::format("h-{:04x}", m_nextHost++), aService, aDomain,
                      aAddress, false });
  StartHost(m_hosts.back());
}

auto ForwardFaults::StartHost(const Host& aHost) -> void
{
  m_fleet.ControlPlatform("host", { { "id", aHost.id },
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

auto ForwardFaults::PickOrderHost() -> std::string
{
  for (const auto& host : m_hosts) {
    if (!host.affected && host.service == "orders") {
      return host.id;
    }
  }
  throw std::logic_error("every host was met by an event");
}

auto ForwardFaults::PickHost() -> Host*
{
  std::vector<Host*> calm;
  for (auto& host : m_hosts) {
    if (!host.affected) {
      calm.push_back(&host);
    }
  }
  return calm.size() < kHostsLeft ? nullptr : calm[m_random() % calm.size()];
}

auto ForwardFaults::InjectHostFault(const std::string& aHost,
                                    const char* aFault) -> void
{
  m_fleet.ControlPlatform("host-fault",
                          { { "id", aHost }, { "fault", aFault } });
}

auto ForwardFaults::MarkUnaffected(const std::string& aHost) -> void
{
  for (auto& host : m_hosts) {
    host.affected = host.affected && host.id != aHost;
  }
}

auto ForwardFaults::RemoveHost(const std::string& aHost) -> void
{
  std::erase_if(m_hosts,
                [&aHost](const Host& aEach) { return aEach.id == aHost; });
}

/// The store is away, entries lapse meanwhile, and are back a second after it.
auto ForwardFaults::ExpireEntries() -> void
{
  std::vector<std::string> lapsed;
  for (auto& host : m_hosts) {
    if (!host.affected && m_random() % 2 == 0) {
      host.affected = true;
      lapsed.push_back(host.id);
    }
  }
  ++m_storeFaults;
  m_fleet.ControlPlatform("store", { { "status", 503 } });
  ScheduleEndAfter(1, [this, lapsed] {
    for (const auto& id : lapsed) {
      InjectHostFault(id, "unlisted");
    }
    ScheduleEndAfter(2, [this, lapsed] {
      if (--m_storeFaults == 0) {
        m_fleet.ControlPlatform("store");
      }
      ScheduleEndAfter(1, [this, lapsed] {
        for (const auto& id : lapsed) {
          InjectHostFault(id, "listed");
          MarkUnaffected(id);
        }
      });
    });
  });
}

auto ForwardFaults::DrainDuringCompaction() -> void
{
  DrainHost();
  m_fleet.ControlPlatform("compact");
}

auto ForwardFaults::SilenceHost() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "dark");
  ScheduleEndAfter(1 + static_cast<double>(m_random() % 2000) / 1000,
                   [this, id = host->id] {
                     InjectHostFault(id, "light");
                     MarkUnaffected(id);
                   });
}

/// Its entry stays for some seconds; another host takes its place elsewhere.
auto ForwardFaults::CrashHost() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "crash");
  ScheduleEndAfter(kListedAfterCrash, [this, crashed = *host] {
    m_fleet.ControlPlatform("unlist", { { "id", crashed.id } });
    RemoveHost(crashed.id);
    AddHost(crashed.service, crashed.failureDomain, m_nextHost);
  });
}

auto ForwardFaults::RestartHost() -> void
{
  if (auto* host = PickHost()) {
    StartHost(*host);
  }
}

/// The new one starts first, as in a release.
auto ForwardFaults::DrainHost() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  const auto leaving = *host;
  AddHost(leaving.service, leaving.failureDomain, m_nextHost);
  InjectHostFault(leaving.id, "drain");
  ScheduleEndAfter(kDrainSeconds, [this, leaving] {
    InjectHostFault(leaving.id, "unlisted");
    // A draining host serves longer than its entry lives.
    ScheduleEndAfter(2, [this, leaving] {
      InjectHostFault(leaving.id, "gone");
      RemoveHost(leaving.id);
    });
  });
}

/// A host crashes for good; its address goes to the other service.
auto ForwardFaults::ReuseAddress() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "crash");
  ScheduleEndAfter(kListedAfterCrash, [this, ended = *host] {
    m_fleet.ControlPlatform("unlist", { { "id", ended.id } });
    RemoveHost(ended.id);
    AddHost(ended.service, ended.failureDomain, m_nextHost);
    ScheduleEndAfter(kReusedAfter, [this, ended] {
      AddHost(ended.service == "orders" ? "proofs" : "orders",
              ended.failureDomain, ended.address);
    });
  });
}

auto ForwardFaults::CorruptEntry() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "spoilt");
  ScheduleEndAfter(2, [this, id = host->id] {
    InjectHostFault(id, "listed");
    MarkUnaffected(id);
  });
}

} // namespace bramleylock::measure
