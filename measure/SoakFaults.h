// Fault events and operational changes of a soak test of the request path.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Support/Random.h"
#include "measure/FaultSchedule.h"
#include "measure/RisingEdits.h"
#include "measure/SoakEvidence.h"
#include "measure/Views.h"

namespace bramleylock::measure {

/// Injects the events of a soak test and logs those that can explain unknown
/// outcomes.
class SoakFaults
{
public:
  SoakFaults(Cluster& aCluster, const Deployment& aDeployment,
             const Load& aLoad, std::uint64_t aSeed);

  /// Injects events until aUntil seconds of the load have passed, and then ends
  /// them all.
  auto Run(double aUntil) -> void;

  /// Waits for the balancers that are stopping. One that takes longer than 60 s
  /// counts as an event "drain_too_long".
  auto AwaitStops() -> void;

  /// Seconds until the membership views and lists revisions of all balancers
  /// agree, at most aLimit.
  auto ConvergenceSeconds(double aLimit) -> double;

  /// Number of events by kind, and the results of checks of some events.
  auto Counts() const -> std::map<std::string, std::uint64_t>;
  auto Log() const -> const FaultLog&;
  auto Edits() -> RisingEdits&;

  /// How often a balancer's lists were seen to revert to an older version.
  auto Reverted() const -> std::uint64_t;

private:
  struct Stopping
  {
    std::string name;
    double since;
  };

  auto FaultKinds() -> std::vector<FaultKind>;
  auto Poll() -> void;

  auto EditLists() -> void;
  auto DrainBalancer() -> void;
  auto CrashBalancer() -> void;
  auto PauseBalancer() -> void;
  auto DrainTarget() -> void;
  auto CrashTarget() -> void;
  auto StoreOutage() -> void;
  auto CutDomain() -> void;
  auto BlackholeConnections() -> void;

  auto EndCut(const std::string& aDomain, double aFrom,
              const std::map<std::string, std::uint64_t>& aBefore) -> void;
  auto ApplyCuts() -> void;
  auto CheckServed(const std::string& aDomain,
                   const std::map<std::string, std::uint64_t>& aBefore) -> void;
  auto AnsweredByBalancer(const std::string& aDomain)
    -> std::map<std::string, std::uint64_t>;
  auto PickBalancer() -> BalancerProcess&;
  auto PickTarget() -> TargetProcess&;
  auto Replace(const std::string& aName) -> void;
  auto Find(const std::string& aName) -> BalancerProcess&;

  Cluster& m_cluster;
  const Deployment& m_deployment;
  const Load& m_load;
  Random m_random;
  FaultSchedule m_schedule;
  std::vector<Stopping> m_stoppingBalancers;
  std::multiset<std::string> m_cutDomains;
  /// The time of the last event that affected each balancer.
  std::map<std::string, double> m_lastEventAt;
  int m_storeOutages = 0;
  std::map<std::string, std::uint64_t> m_counts;
  FaultLog m_log;
  RisingEdits m_edits;
  RevisionMonitor m_revisions;
  double m_nextPoll = 0;
};

} // namespace bramleylock::measure
