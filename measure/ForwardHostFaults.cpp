// Fault events of the forwarding soak that affect hosts and their entries in
// the store.

#include "measure/ForwardFaults.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

static constexpr int kOrderHosts = 9;
static constexpr int kProofHosts = 3;

/// Hosts of the second service that the route "lists" may be split over.
static constexpr int kArchiveHosts = 3;

/// Minimum number of unaffected hosts for a new event, so that some hosts
/// always serve.
static constexpr std::size_t kMinUnaffectedHosts = 9;

/// How long the store lists a crashed host: three renewal intervals of 1.2 s.
static constexpr double kListedAfterCrashSeconds = 3.6;

/// Time after which the address of a removed host may be assigned to another
/// host.
static constexpr double kAddressReuseDelaySeconds = 2;

/// Time for which a restarted host serves before it registers.
static constexpr int kRegistrationDelayMs = 300;

/// Minimum time that a host continues to serve after it reports draining.
static constexpr double kDrainSeconds = 3;

auto ForwardFaults::AddHost(const std::string& aService,
                            const std::string& aDomain, int aAddress) -> void
{
  m_hosts.push_back({ fmt::format("h-{:04x}", m_nextHost++), aService, aDomain,
                      aAddress, false });
  StartHost(m_hosts.back());
}

auto ForwardFaults::StartHost(const Host& aHost, int aRegistersAfterMs) -> void
{
  m_fleet.ControlPlatform("host",
                          { { "id", aHost.id },
                            { "service", aHost.service },
                            { "failure_domain", aHost.failureDomain },
                            { "at", aHost.address },
                            { "registers_after_ms", aRegistersAfterMs } });
}

auto ForwardFaults::StartHosts() -> void
{
  const auto& domains = m_fleet.FailureDomains();
  for (int i = 0; i < kOrderHosts + kProofHosts + kArchiveHosts; ++i) {
    const auto* service = i < kOrderHosts                 ? "orders"
                          : i < kOrderHosts + kProofHosts ? "proofs"
                                                          : "archive";
    AddHost(service, domains[static_cast<std::size_t>(i) % domains.size()],
            m_nextHost);
  }
}

auto ForwardFaults::PickOrderHost() -> std::string
{
  for (const auto& host : m_hosts) {
    if (!host.affected && host.service == "orders") {
      return host.id;
    }
  }
  throw std::logic_error(
    "no host of the service \"orders\" is unaffected by events");
}

auto ForwardFaults::PickHost() -> Host*
{
  std::vector<Host*> candidates;
  for (auto& host : m_hosts) {
    if (!host.affected) {
      candidates.push_back(&host);
    }
  }
  return candidates.size() < kMinUnaffectedHosts
           ? nullptr
           : candidates[m_random() % candidates.size()];
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

/// Makes the store unavailable, lets entries expire meanwhile, and lists them
/// again one second after the store has recovered.
auto ForwardFaults::ExpireEntries() -> void
{
  std::vector<std::string> expired;
  for (auto& host : m_hosts) {
    if (!host.affected && m_random() % 2 == 0) {
      host.affected = true;
      expired.push_back(host.id);
    }
  }
  ++m_storeFaults;
  m_fleet.ControlPlatform("store", { { "status", 503 } });
  ScheduleEndAfter(1, [this, expired] {
    for (const auto& id : expired) {
      InjectHostFault(id, "unlisted");
    }
    ScheduleEndAfter(2, [this, expired] {
      if (--m_storeFaults == 0) {
        m_fleet.ControlPlatform("store");
      }
      ScheduleEndAfter(1, [this, expired] {
        for (const auto& id : expired) {
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

/// Crashes a host, whose entry stays in the store for some seconds, and then
/// starts a replacement at another address.
auto ForwardFaults::CrashHost() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "crash");
  ScheduleEndAfter(kListedAfterCrashSeconds, [this, crashed = *host] {
    m_fleet.ControlPlatform("unlist", { { "id", crashed.id } });
    RemoveHost(crashed.id);
    AddHost(crashed.service, crashed.failureDomain, m_nextHost);
  });
}

auto ForwardFaults::RestartHost() -> void
{
  if (auto* host = PickHost()) {
    StartHost(*host, kRegistrationDelayMs);
  }
}

/// Drains a host after its replacement has started, as in a release.
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
    // A draining host continues to serve after its entry has expired.
    ScheduleEndAfter(2, [this, leaving] {
      InjectHostFault(leaving.id, "gone");
      RemoveHost(leaving.id);
    });
  });
}

/// Crashes a host for good and assigns its address to a host of the other
/// service.
auto ForwardFaults::ReuseAddress() -> void
{
  auto* host = PickHost();
  if (host == nullptr) {
    return;
  }
  host->affected = true;
  InjectHostFault(host->id, "crash");
  ScheduleEndAfter(kListedAfterCrashSeconds, [this, ended = *host] {
    m_fleet.ControlPlatform("unlist", { { "id", ended.id } });
    RemoveHost(ended.id);
    AddHost(ended.service, ended.failureDomain, m_nextHost);
    ScheduleEndAfter(kAddressReuseDelaySeconds, [this, ended] {
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
