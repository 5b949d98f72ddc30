// Fault events and operational changes of a soak test of the forwarding path,
// and the invariants that are checked meanwhile.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "measure/FaultSchedule.h"
#include "measure/ForwardFleet.h"

namespace bramleylock::measure {

/// Injects events into the balancers, their links, the store and the hosts. At
/// most one event affects a balancer or host at a time.
class ForwardFaults
{
public:
  ForwardFaults(ForwardFleet& aFleet, std::uint64_t aSeed);

  /// Starts the hosts of all services.
  auto StartHosts() -> void;

  /// Injects events for aSeconds, and then ends them all.
  auto Run(double aSeconds) -> void;

  /// Number of events by kind.
  auto Counts() const -> const std::map<std::string, std::uint64_t>&;

  /// Descriptions of the invariant violations seen.
  auto Violations() const -> const std::vector<std::string>&;

  /// Checks the invariants once.
  auto CheckInvariants() -> void;

  /// The ID of a host of the service "orders" that no event affects.
  auto PickOrderHost() -> std::string;

private:
  struct Host
  {
    std::string id;
    std::string service;
    std::string failureDomain;
    int address = 0;
    /// Whether an event affects the host.
    bool affected = false;
  };

  auto FaultKinds() -> std::vector<FaultKind>;
  auto Elapsed() const -> double;
  auto ScheduleEndAfter(double aSeconds, std::function<void()> aEnd) -> void;

  auto KillBalancer() -> void;
  auto StopBalancer() -> void;
  auto PauseBalancer() -> void;
  auto ReloadBalancer() -> void;
  auto KillAll() -> void;
  auto InjectStoreFault(const nlohmann::json& aFault) -> void;
  auto ExpireEntries() -> void;
  auto DrainDuringCompaction() -> void;
  auto SilenceHost() -> void;
  auto CrashHost() -> void;
  auto RestartHost() -> void;
  auto DrainHost() -> void;
  auto ReuseAddress() -> void;
  auto CorruptEntry() -> void;
  auto PublishConfigurationBurst() -> void;
  auto DropRoute() -> void;
  auto SplitRoute() -> void;
  auto EvacuateDomain() -> void;
  auto CutDomain() -> void;
  auto CutStore() -> void;
  auto CutOneWay() -> void;
  auto InjectLinkFaults() -> void;
  auto SendForgedPackets() -> void;

  /// A random balancer that no event affects; null when fewer than three are
  /// left, so that the routers always have balancers to send to.
  auto PickBalancer() -> ForwardVm*;
  /// A random host that no event affects; null when too few are left.
  auto PickHost() -> Host*;
  auto PickDomain() -> std::string;
  auto AddHost(const std::string& aService, const std::string& aDomain,
               int aAddress) -> void;
  auto StartHost(const Host& aHost, int aRegistersAfterMs = 0) -> void;
  auto InjectHostFault(const std::string& aHost, const char* aFault) -> void;
  /// Marks aHost as unaffected, so that other events may select it.
  auto MarkUnaffected(const std::string& aHost) -> void;
  auto RemoveHost(const std::string& aHost) -> void;
  auto Start(ForwardVm& aVm) -> void;
  auto AwaitStop(ForwardVm& aVm, double aSince) -> void;
  auto RecordViolation(const std::string& aWhat) -> void;
  auto CheckReport() -> void;
  auto CheckBalancers() -> void;

  ForwardFleet& m_fleet;
  Random m_random;
  Clock::time_point m_startedAt;
  FaultSchedule m_schedule;
  std::vector<Host> m_hosts;
  std::set<std::string> m_affectedVms;
  std::multiset<std::string> m_cutDomains;
  std::multiset<std::string> m_cutStores;
  int m_storeFaults = 0;
  int m_routeDrops = 0;
  int m_routeSplits = 0;
  std::multiset<std::string> m_evacuations;
  int m_nextHost = 1;
  std::vector<std::string> m_violations;
  std::map<std::string, std::uint64_t> m_lastReport;
  /// The highest version of the routes seen, by process ID.
  std::map<int, double> m_versions;
  double m_nextCheck = 0;
};

} // namespace bramleylock::measure
