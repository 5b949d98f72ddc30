// Real processes of one deployment on loopback.
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

/// One process that the harness started.
class Process
{
public:
  /// Starts aProgram and waits for its line "ready KEY=VALUE ...". Throws
  /// std::runtime_error when the process ends first.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aLogFile);
  ~Process();
  Process(const Process&) = delete;
  auto operator=(const Process&) -> Process& = delete;

  /// A value of the ready line.
  auto Value(const std::string& aKey) const -> std::string;

  /// Sends a signal.
  auto Signal(int aSignal) -> void;

  auto Running() -> bool;

  /// Waits for the process to end; false after aLimit.
  auto Wait(Milliseconds aLimit) -> bool;

  auto Id() const -> int;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// A directory for the settings and logs of one run; goes with it unless it is
/// kept, or BRAMLEYLOCK_KEEP_LOGS is set.
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

/// Posts a document to a process of the run and returns its answer.
auto PostJson(const std::string& aAddress, const std::string& aPath,
              const nlohmann::json& aBody, std::error_code& aError)
  -> nlohmann::json;

/// Where the programs of this build stand.
auto ProgramDirectory() -> std::string;

struct BalancerProcess
{
  std::string name;
  std::string failureDomain;
  std::unique_ptr<Process> process;
  bool listed = true;
  bool sprayed = true;
  /// Stopped by a signal, so that it answers nothing.
  bool paused = false;
  double weight = 1;
};

struct TargetProcess
{
  std::string name;
  std::string service;
  std::string failureDomain;
  std::unique_ptr<Process> process;
  bool listed = true;
  bool leaving = false;
  /// The proxy that balancers reach it through; null without one.
  std::unique_ptr<Process> proxy;
};

/// How often a request ran, by the targets' journals.
struct RunCount
{
  int runs = 0;
  std::set<std::string> services;
};

struct ClusterOptions
{
  std::uint64_t seed = 1;
  /// Extra lines of every balancer's settings, by section.
  std::map<std::string, std::string> settings;
  /// Balancers to start; 0 takes the deployment's number.
  int balancers = 0;
  /// Hosts to start for each service; 0 takes the deployment's numbers.
  int hosts = 0;
  /// Gives each balancer an address by failure domain, with a proxy before its
  /// peer listener and one before the store for each domain.
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

  /// Starts everything and waits until each balancer has the lists.
  auto Start() -> void;

  /// "ip:port" that callers send to.
  auto CallerAddress() const -> std::string;

  auto Balancers() -> std::vector<BalancerProcess>&;
  auto Targets() -> std::vector<TargetProcess>&;

  /// Starts one more balancer, not yet listed.
  auto AddBalancer(const std::string& aFailureDomain) -> BalancerProcess&;

  /// Sets extra lines of a settings section for balancers started from now on.
  auto SetSettings(const std::string& aSection, const std::string& aLines)
    -> void;

  auto AddTarget(const std::string& aService, const std::string& aFailureDomain)
    -> TargetProcess&;

  /// Tells the platform's VM list and the fabric what is there now.
  auto Publish() -> void;

  auto WaitReady(BalancerProcess& aBalancer) -> void;

  /// Cuts the links from balancers of aFrom to those of aTo, or heals them;
  /// needs the option proxied, as CutLink, CutStore, CutDomains and
  /// LosePackets.
  auto CutLinks(const std::string& aFrom, const std::string& aTo, bool aCut)
    -> void;

  /// Cuts the links from one balancer to another, or heals them.
  auto CutLink(const std::string& aFrom, const std::string& aTo, bool aCut)
    -> void;

  /// Cuts aDomain from the platform, or heals it.
  auto CutStore(const std::string& aDomain, bool aCut) -> void;

  /// Cuts exactly these failure domains from all others and from the platform,
  /// also their balancers that were added since the last call.
  auto CutDomains(const std::set<std::string>& aDomains) -> void;

  /// Makes the proxies of all targets forget the connections that exist.
  auto ForgetConnections() -> void;

  /// Ids of requests that were lost on connections which a target's proxy
  /// forgot, or whose answers were.
  auto LostRequests(TargetProcess& aTarget) -> std::set<std::string>;

  /// Loses aPart of the packets on all peer links.
  auto LosePackets(double aPart) -> void;

  /// Sets what is wrong with the platform's store, or with the packets between
  /// callers and balancers; an empty object heals it.
  auto SetStoreFault(const nlohmann::json& aFault) -> void;
  auto SetFabricFault(const nlohmann::json& aFault) -> void;

  /// Sends a control document to a stand-in at "ip:port".
  auto Control(const std::string& aAddress, const std::string& aPath,
               const nlohmann::json& aBody) -> nlohmann::json;

  /// Calls a balancer's administration API.
  auto Admin(BalancerProcess& aBalancer, const std::string& aMethod,
             const std::string& aTarget, const std::string& aBody = {})
    -> nlohmann::json;

  auto StoreAddress() const -> std::string;
  auto FabricControl() const -> std::string;

  /// Runs by request id over all targets, also stopped ones.
  auto Runs() -> std::map<std::string, RunCount>;

  /// Runs by target name.
  auto RunsByTarget(const std::string& aService) -> std::map<std::string, int>;

  /// What a target tells of its runs and refusals.
  auto Journal(TargetProcess& aTarget) -> nlohmann::json;

  /// Keeps the journal of a target that is about to stop, and what its proxy
  /// lost.
  auto SaveJournal(TargetProcess& aTarget) -> void;

  /// Sum of a counter over the running balancers.
  auto CounterSum(const std::string& aName) -> std::uint64_t;

  auto Directory() const -> std::string;

private:
  auto StartBalancer(const std::string& aName, const std::string& aDomain)
    -> std::unique_ptr<Process>;
  auto StartProxy(const std::string& aName, const std::string& aListen,
                  const std::string& aTo) -> std::unique_ptr<Process>;
  auto StoreFor(const std::string& aDomain) -> std::string;
  auto ListenLines(const std::string& aName, const std::string& aDomain)
    -> std::string;
  auto DomainPrefix(const std::string& aDomain) const -> std::string;
  auto AddressOf(const std::string& aBalancer) const -> std::string;
  auto SetCut(const std::string& aPrefix, const std::string& aTo, bool aCut)
    -> void;
  auto SetFaults(const std::string& aBalancer) -> void;

  const Deployment& m_deployment;
  ClusterOptions m_options;
  RunDirectory m_directory;
  std::string m_programs;
  std::unique_ptr<Process> m_store;
  std::unique_ptr<Process> m_fabric;
  std::vector<BalancerProcess> m_balancers;
  std::vector<TargetProcess> m_targets;
  std::map<std::string, nlohmann::json> m_savedJournals;
  std::map<std::string, std::set<std::string>> m_savedLosses;
  std::map<std::string, std::unique_ptr<Process>> m_storeProxies;
  std::map<std::string, std::unique_ptr<Process>> m_peerProxies;
  /// Prefixes of addresses that are cut, by the balancer that they cannot send
  /// to.
  std::map<std::string, std::set<std::string>> m_cutInto;
  double m_loss = 0;
  int m_nextName = 1;
};

} // namespace bramleylock::measure
