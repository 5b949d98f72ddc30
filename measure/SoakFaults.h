// The changes and faults of a soak, in an order given by its seed.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Support/Random.h"
#include "measure/RisingEdits.h"
#include "measure/SoakEvidence.h"
#include "measure/Views.h"

namespace bramleylock::measure {

/// Begins events one after the other and ends those that last, so that they
/// overlap. Each kind comes twice before any comes a third time.
class SoakFaults
{
public:
  SoakFaults(Cluster& aCluster, const Deployment& aDeployment,
             const Load& aLoad, std::uint64_t aSeed);

  /// Begins the next event.
  auto Begin() -> void;

  /// Ends the events whose time has come, and looks at the balancers.
  auto Poll() -> void;

  /// Ends all events.
  auto Calm() -> void;

  /// Waits for the balancers that are stopping; later than a limit counts as
  /// an event "drain_too_long".
  auto AwaitStops() -> void;

  /// Seconds until all balancers hold each other alive, at most aLimit.
  auto AgreeSeconds(double aLimit) -> double;

  auto Counts() const -> const std::map<std::string, std::uint64_t>&;
  auto Log() const -> const FaultLog&;
  auto Edits() -> RisingEdits&;

  /// Lists that were seen to revert.
  auto Reverted() const -> std::uint64_t;

private:
  struct Event
  {
    const char* name;
    void (SoakFaults::*run)();
  };
  struct Ending
  {
    double at;
    std::function<void()> end;
  };
  struct Stopping
  {
    std::string name;
    double since;
  };

  static auto Kinds() -> const std::vector<Event>&;
  auto FillDeck() -> void;
  auto EndAt(double aSeconds, std::function<void()> aEnd) -> void;

  auto EditLists() -> void;
  auto DrainBalancer() -> void;
  auto CrashBalancer() -> void;
  auto PauseBalancer() -> void;
  auto DrainTarget() -> void;
  auto CrashTarget() -> void;
  auto StoreOutage() -> void;
  auto CutDomain() -> void;
  auto ForgetConnections() -> void;

  auto EndCut(const std::string& aDomain, double aFrom,
              const std::map<std::string, std::uint64_t>& aBefore) -> void;
  auto ApplyCuts() -> void;
  auto CheckServed(const std::string& aDomain,
                   const std::map<std::string, std::uint64_t>& aBefore) -> void;
  auto Answered(const std::string& aDomain)
    -> std::map<std::string, std::uint64_t>;
  auto AnyBalancer() -> BalancerProcess&;
  auto AnyTarget() -> TargetProcess&;
  auto Replace(const std::string& aName) -> void;
  auto Find(const std::string& aName) -> BalancerProcess&;

  Cluster& m_cluster;
  const Deployment& m_deployment;
  const Load& m_load;
  Random m_random;
  std::vector<Event> m_deck;
  std::vector<Ending> m_endings;
  std::vector<Stopping> m_stopping;
  std::multiset<std::string> m_cut;
  /// Balancers that an event has met, with the time of the last one.
  std::map<std::string, double> m_met;
  int m_outages = 0;
  std::map<std::string, std::uint64_t> m_counts;
  FaultLog m_log;
  RisingEdits m_edits;
  RevisionWatch m_revisions;
  double m_nextLook = 0;
};

} // namespace bramleylock::measure
