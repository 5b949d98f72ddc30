// Balancers of the forwarding path as processes, around the stand-in of the
// platform, with proxies before their peer listeners and before the store.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// One entry VM; the process on it comes and goes, its address stays.
struct ForwardVm
{
  std::string name;
  std::string failureDomain;
  std::string ip;
  /// Stands before the peer listener.
  std::unique_ptr<Process> proxy;
  std::unique_ptr<Process> process;
  bool paused = false;
  int logRecordsPerSecond = 100;
};

/// Every method that talks to a process blocks.
class ForwardFleet
{
public:
  /// aSeed also chooses the loopback addresses, so that fleets can run side by
  /// side.
  explicit ForwardFleet(std::uint64_t aSeed);

  /// Starts everything and waits until each balancer is in rotation.
  auto Start() -> void;

  auto Vms() -> std::vector<ForwardVm>&;
  auto FailureDomains() const -> const std::vector<std::string>&;

  /// Starts the balancer of aVm, which must not run.
  auto StartBalancer(ForwardVm& aVm) -> void;

  /// Writes the settings file of aVm anew.
  auto WriteSettings(const ForwardVm& aVm) -> std::string;

  /// Sends a control document to the stand-in of the platform.
  auto Ask(const std::string& aAction,
           const nlohmann::json& aBody = nlohmann::json::object())
    -> nlohmann::json;

  /// Cuts exactly these failure domains from all others and from the store.
  auto CutDomains(const std::set<std::string>& aDomains) -> void;

  /// Cuts exactly these failure domains from the store.
  auto CutStores(const std::set<std::string>& aDomains) -> void;

  /// Cuts the links that balancers of aFrom open to those of aTo; a link in the
  /// other direction goes on.
  auto CutOneWay(const std::string& aFrom, const std::string& aTo) -> void;

  /// Loses a part of the packets of peer links, and delays all.
  auto HarmLinks(double aLoss, int aDelayMs) -> void;

  /// Lets the existing connections between balancers and to the store go
  /// silent.
  auto ForgetConnections() -> void;

  /// A figure on the metrics address of aVm, if it answers.
  auto Metric(const ForwardVm& aVm, const std::string& aName)
    -> std::optional<double>;

  /// Keeps the logs of this run.
  auto KeepLogs() -> void;

private:
  auto Prefix(const std::string& aDomain) const -> std::string;
  auto ApplyLinkFaults(bool aForget) -> void;
  auto Control(const Process& aProxy, const nlohmann::json& aFault) -> void;

  RunDirectory m_directory;
  std::string m_programs;
  std::string m_net;
  std::uint64_t m_seed;
  std::vector<std::string> m_domains;
  std::unique_ptr<Process> m_platform;
  std::map<std::string, std::unique_ptr<Process>> m_storeProxies;
  std::vector<ForwardVm> m_vms;
  std::set<std::string> m_cutDomains;
  std::set<std::string> m_cutStores;
  /// Failure domains by those that cannot open links to them.
  std::map<std::string, std::set<std::string>> m_cutOneWay;
  double m_loss = 0;
  int m_delayMs = 0;
};

} // namespace bramleylock::measure
