// Starts and controls the processes of one deployment on loopback addresses.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bramleylock/Support/Asio.h"
#include "measure/Deployment.h"

namespace bramleylock::measure {

/// A child process of the measuring tool.
class Process
{
public:
  /// Starts aProgram and waits until it prints the line "ready KEY=VALUE ...".
  /// Throws std::runtime_error when the process ends first or prints no such
  /// line within 10 s.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aLogFile);
  ~Process();
  Process(const Process&) = delete;
  auto operator=(const Process&) -> Process& = delete;

  /// Returns the value of aKey in the ready line.
  auto Value(const std::string& aKey) const -> std::string;

  auto Signal(int aSignal) -> void;

  auto Running() -> bool;

  /// Waits for the process to end; returns false after aLimit.
  auto Wait(Milliseconds aLimit) -> bool;

  auto Id() const -> int;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// A temporary directory for the settings and logs of one run. The destructor
/// removes it unless Keep was called or BRAMLEYLOCK_KEEP_LOGS is set.
class RunDirectory
{
public:
  RunDirectory();
  ~RunDirectory();
  RunDirectory(const RunDirectory&) = delete;
  auto operator=(const RunDirectory&) -> RunDirectory& = delete;

  auto Path() const -> const std::string&;

  /// Writes a file and returns its path.
  auto Write(const std::string& aName, const std::string& aText) -> std::string;

  auto Keep() -> void;

private:
  std::string m_path;
  bool m_kept = false;
};

/// Posts a JSON document to a process of the run and returns its response.
auto PostJson(const std::string& aAddress, const std::string& aPath,
              const nlohmann::json& aBody, std::error_code& aError)
  -> nlohmann::json;

/// The directory of the running executable, which holds all programs of the
/// build.
auto ProgramDirectory() -> std::string;

struct BalancerProcess
{
  std::string name;
  std::string failureDomain;
  std::unique_ptr<Process> process;
  /// Whether the platform's VM list contains the balancer.
  bool listed = true;
  /// Whether the fabric sends client packets to the balancer.
  bool sprayed = true;
  /// Stopped by SIGSTOP, so it does not respond.
  bool paused = false;
  double weight = 1;
};

struct TargetProcess
{
  std::string name;
  std::string service;
  std::string failureDomain;
  std::unique_ptr<Process> process;
  /// Whether the platform's VM list contains the target.
  bool listed = true;
  /// Whether the platform's VM list marks the target as leaving.
  bool leaving = false;
  /// The proxy in front of the target; null when balancers connect directly.
  std::unique_ptr<Process> proxy;
};

/// The number of executions of a request according to the targets' journals.
struct RunCount
{
  int runs = 0;
  /// Services whose targets executed the request.
  std::set<std::string> services;
};

struct ClusterOptions
{
  std::uint64_t seed = 1;
  /// Additional lines for every balancer's settings file, by section.
  std::map<std::string, std::string> settings;
  /// Number of balancers; 0 selects the deployment's number.
  int balancers = 0;
  /// Number of targets of each service; 0 selects the deployment's numbers.
  int hosts = 0;
  /// Gives each balancer a loopback address in the subnet of its failure
  /// domain. Starts a proxy in front of each peer listener, and one proxy in
  /// front of the store for each failure domain.
  bool proxied = false;
  /// Puts a proxy in front of every target.
  bool proxyTargets = false;
};

/// Starts and stops a deployment, and injects faults into it. Every method
/// that talks to a process blocks.
class Cluster
{
public:
  Cluster(const Deployment& aDeployment, ClusterOptions aOptions);
  ~Cluster();

  /// Starts all processes and waits until each balancer is ready and has the
  /// lists and the targets.
  auto Start() -> void;

  /// The "ip:port" to which callers send.
  auto CallerAddress() const -> std::string;

  auto Balancers() -> std::vector<BalancerProcess>&;
  auto Targets() -> std::vector<TargetProcess>&;

  /// Starts another balancer. It joins the VM list with the next Publish.
  auto AddBalancer(const std::string& aFailureDomain) -> BalancerProcess&;

  /// Sets additional lines of a settings section for balancers that are
  /// started later.
  auto SetSettings(const std::string& aSection, const std::string& aLines)
    -> void;

  auto AddTarget(const std::string& aService, const std::string& aFailureDomain)
    -> TargetProcess&;

  /// Updates the platform's VM list and the fabric's balancers from the current
  /// state of the balancers and targets.
  auto Publish() -> void;

  auto WaitReady(BalancerProcess& aBalancer) -> void;

  /// Blocks or restores the links that balancers of failure domain aFrom open
  /// to balancers of aTo. CutLinks, CutLink, CutStore, CutDomains and
  /// SetPacketLoss require ClusterOptions::proxied.
  auto CutLinks(const std::string& aFrom, const std::string& aTo, bool aBlocked)
    -> void;

  /// Blocks or restores the links that balancer aFrom opens to balancer aTo.
  auto CutLink(const std::string& aFrom, const std::string& aTo, bool aBlocked)
    -> void;

  /// Blocks or restores the connections of aDomain to the platform's store.
  auto CutStore(const std::string& aDomain, bool aBlocked) -> void;

  /// Isolates exactly these failure domains from all others and from the
  /// platform's store, and restores the rest. Call it again after adding a
  /// balancer, as the blocks are set per balancer.
  auto CutDomains(const std::set<std::string>& aDomains) -> void;

  /// Makes the proxies of all targets silently drop the traffic of existing
  /// connections, as a middlebox that loses its connection state.
  auto BlackholeConnections() -> void;

  /// IDs of requests that a target's proxy dropped, or whose answers it
  /// dropped, on connections affected by BlackholeConnections.
  auto DroppedRequests(TargetProcess& aTarget) -> std::set<std::string>;

  /// Drops the fraction aFraction of the packets on all peer links.
  auto SetPacketLoss(double aFraction) -> void;

  /// Injects a fault into the platform's store, or into the packets between
  /// callers and balancers. An empty object ends the fault.
  auto SetStoreFault(const nlohmann::json& aFault) -> void;
  auto SetFabricFault(const nlohmann::json& aFault) -> void;

  /// Posts a control document to the stand-in at "ip:port"; prints errors to
  /// standard error.
  auto Control(const std::string& aAddress, const std::string& aPath,
               const nlohmann::json& aBody) -> nlohmann::json;

  /// Calls a balancer's administration API.
  auto Admin(BalancerProcess& aBalancer, const std::string& aMethod,
             const std::string& aTarget, const std::string& aBody = {})
    -> nlohmann::json;

  auto StoreAddress() const -> std::string;
  auto FabricControl() const -> std::string;

  /// Executions by request ID over all targets, including stopped ones whose
  /// journal was saved.
  auto RunsByRequest() -> std::map<std::string, RunCount>;

  /// Number of executions by target name.
  auto RunCountsByTarget(const std::string& aService)
    -> std::map<std::string, int>;

  /// A target's journal: its executions and refusals.
  auto Journal(TargetProcess& aTarget) -> nlohmann::json;

  /// Saves the journal of a target that is about to stop, and the requests that
  /// its proxy dropped.
  auto SaveJournal(TargetProcess& aTarget) -> void;

  /// The sum of a counter over the running balancers.
  auto CounterSum(const std::string& aName) -> std::uint64_t;

  auto Directory() const -> std::string;

private:
  auto StartBalancer(const std::string& aName, const std::string& aDomain)
    -> std::unique_ptr<Process>;
  auto StartProxy(const std::string& aName, const std::string& aListen,
                  const std::string& aTo) -> std::unique_ptr<Process>;
  auto StoreAddressFor(const std::string& aDomain) -> std::string;
  auto PeerListenSettings(const std::string& aName, const std::string& aDomain)
    -> std::string;
  auto DomainPrefix(const std::string& aDomain) const -> std::string;
  auto AddressOf(const std::string& aBalancer) const -> std::string;
  auto SetBlocked(const std::string& aPrefix, const std::string& aTo,
                  bool aBlocked) -> void;
  auto ApplyLinkFaults(const std::string& aBalancer) -> void;

  const Deployment& m_deployment;
  ClusterOptions m_options;
  RunDirectory m_directory;
  std::string m_programs;
  std::unique_ptr<Process> m_store;
  std::unique_ptr<Process> m_fabric;
  std::vector<BalancerProcess> m_balancers;
  std::vector<TargetProcess> m_targets;
  std::map<std::string, nlohmann::json> m_savedJournals;
  std::map<std::string, std::set<std::string>> m_savedDroppedRequests;
  std::map<std::string, std::unique_ptr<Process>> m_storeProxies;
  std::map<std::string, std::unique_ptr<Process>> m_peerProxies;
  /// Blocked prefixes of source addresses, by the name of the destination
  /// balancer.
  std::map<std::string, std::set<std::string>> m_blockedSources;
  double m_packetLoss = 0;
  int m_nextName = 1;
};

} // namespace bramleylock::measure
