// Edits through the administration API, and what the balancers then show.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "measure/Cluster.h"
#include "measure/Scenario.h"

namespace bramleylock::measure {

/// Balancers of each failure domain, so that most are no watchers.
inline constexpr int kListsPerDomain = 4;

/// A fleet of that size, with one host for each service.
auto ListsFleet(const ScenarioOptions& aOptions) -> ClusterOptions;

/// An accepted edit must be in force everywhere within this time.
inline constexpr double kSpreadLimitSeconds = 4;

/// Makes edits that count a plan's rate upwards, so that a value which falls on
/// a balancer is a reverted edit. Not for use by several threads, but for
/// Submit.
class EditProbe
{
public:
  EditProbe(Cluster& aCluster, const Deployment& aDeployment);

  /// The next edit of aPlan, as the API takes it.
  auto NextEdit(const std::string& aPlan) -> nlohmann::json;

  /// Sends an edit; the answer holds "status".
  auto Submit(BalancerProcess& aThrough, const nlohmann::json& aEdit)
    -> nlohmann::json;

  /// Tells that aEdit was accepted and must stay in force.
  auto Accepted(const nlohmann::json& aEdit) -> void;

  /// Submits one edit and waits until it is in force on all balancers; returns
  /// the seconds from the submission, or the limit when it took longer.
  auto EditAndWait(BalancerProcess& aThrough, const std::string& aPlan)
    -> double;

  /// Waits until all accepted edits are in force on all balancers.
  auto WaitInForce(double aLimitSeconds) -> double;

  /// Reads every balancer once; true when all show all accepted edits.
  auto Poll() -> bool;

  /// Balancers that are not read, as paused ones do not answer.
  auto Skip(const std::string& aBalancer, bool aSkip) -> void;

  /// The accepted edits that some balancer does not show.
  auto Lost() -> std::uint64_t;

  auto Reverted() const -> std::uint64_t;

  /// Edits whose status was not "accepted" though EditAndWait needs it.
  auto Refused() const -> std::uint64_t;

  /// Adds reverted, lost and refused edits and the spread, and their aims.
  auto AddTo(Report& aReport) -> void;

  /// Plans of the deployment.
  auto Plans() const -> const std::vector<std::string>&;

private:
  Cluster& m_cluster;
  std::vector<std::string> m_plans;
  std::map<std::string, nlohmann::json> m_entries;
  std::map<std::string, double> m_accepted;
  /// Highest value seen, by balancer and plan.
  std::map<std::string, std::map<std::string, double>> m_seen;
  std::set<std::string> m_skipped;
  std::vector<double> m_spread;
  double m_nextValue = 1;
  std::uint64_t m_reverted = 0;
  std::uint64_t m_refused = 0;
};

/// Calls of the platform's store so far.
auto StoreCalls(Cluster& aCluster) -> std::uint64_t;

/// Writes that the store has seen so far.
auto StoreWrites(Cluster& aCluster) -> std::uint64_t;

/// Whether the store's document has the revision that the balancers have.
auto StoreHoldsLists(Cluster& aCluster) -> bool;

/// Balancers of a failure domain that hold the platform's watches.
auto WatchersOf(Cluster& aCluster, const std::string& aFailureDomain)
  -> std::vector<BalancerProcess*>;

auto Pause(double aSeconds) -> void;

} // namespace bramleylock::measure
