// Starts balancers of the forwarding path as processes with the stand-in of the
// platform, with proxies in front of their peer listeners and of the store.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// A VM that runs a balancer. Its address stays the same when the process is
/// restarted.
struct ForwardVm
{
  std::string name;
  std::string failureDomain;
  std::string ip;
  /// The proxy in front of the peer listener.
  std::unique_ptr<Process> proxy;
  std::unique_ptr<Process> process;
  bool paused = false;
  int logRecordsPerSecond = 100;
};

/// The balancers, the platform stand-in and the proxies of one run. Methods
/// that communicate with a process block.
class ForwardFleet
{
public:
  /// aSeed also selects the loopback addresses, so that fleets can run
  /// concurrently on one machine.
  /// Creates a fleet of aBalancers in three failure domains, or of the default
  /// size if it is 0.
  explicit ForwardFleet(std::uint64_t aSeed, int aBalancers = 0);

  /// Starts all processes and waits until each balancer is in rotation.
  auto Start() -> void;

  auto Vms() -> std::vector<ForwardVm>&;
  auto FailureDomains() const -> const std::vector<std::string>&;

  /// Starts the balancer of aVm, which must not be running.
  auto StartBalancer(ForwardVm& aVm) -> void;

  /// Writes the settings file of aVm and returns its path.
  auto WriteSettings(const ForwardVm& aVm) -> std::string;

  /// Sends a control document to the stand-in of the platform.
  auto ControlPlatform(const std::string& aAction,
                       const nlohmann::json& aBody = nlohmann::json::object())
    -> nlohmann::json;

  /// Isolates exactly these failure domains from all others and from the store.
  auto CutDomains(const std::set<std::string>& aDomains) -> void;

  /// Isolates exactly these failure domains from the store.
  auto CutStores(const std::set<std::string>& aDomains) -> void;

  /// Blocks the links that balancers of aFrom open to balancers of aTo. Links
  /// that are opened in the other direction continue. An empty aFrom ends the
  /// fault.
  auto CutOneWay(const std::string& aFrom, const std::string& aTo) -> void;

  /// Drops the fraction aLoss of the packets on peer links and delays all of
  /// them.
  auto InjectLinkFaults(double aLoss, int aDelayMs) -> void;

  /// Silently drops the traffic of existing connections between balancers and
  /// to the store.
  auto BlackholeConnections() -> void;

  /// Reads a metric of the balancer on aVm; nothing when it does not respond.
  auto Metric(const ForwardVm& aVm, const std::string& aName)
    -> std::optional<double>;

  /// Keeps the log files after the run.
  auto KeepLogs() -> void;

private:
  auto Prefix(const std::string& aDomain) const -> std::string;
  auto ApplyLinkFaults(bool aBlackholeExisting) -> void;
  auto Control(const Process& aProxy, const nlohmann::json& aFault) -> void;

  RunDirectory m_directory;
  std::string m_programs;
  std::string m_net;
  std::uint64_t m_seed;
  std::vector<std::string> m_domains;
  int m_vmsPerDomain;
  std::unique_ptr<Process> m_platform;
  std::map<std::string, std::unique_ptr<Process>> m_storeProxies;
  std::vector<ForwardVm> m_vms;
  std::set<std::string> m_cutDomains;
  std::set<std::string> m_cutStores;
  /// Failure domains whose links are blocked, by the destination domain.
  std::map<std::string, std::set<std::string>> m_cutOneWay;
  double m_loss = 0;
  int m_delayMs = 0;
};

} // namespace bramleylock::measure
