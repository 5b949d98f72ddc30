// Submits list edits through the administration API and checks that every
// balancer applies them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "measure/Cluster.h"
#include "measure/Scenario.h"

namespace bramleylock::measure {

/// Balancers per failure domain, chosen so that most of them do not watch the
/// platform themselves.
inline constexpr int kBalancersPerDomain = 4;

/// Options of a cluster with kBalancersPerDomain balancers per failure domain
/// and one target per service.
auto EditClusterOptions(const ScenarioOptions& aOptions) -> ClusterOptions;

/// The time within which an accepted edit must be in force on all balancers.
inline constexpr double kPropagationLimitSeconds = 4;

/// Makes edits that increase a plan's rate each time, so that a decreasing
/// value on a balancer reveals a reverted edit. Only Submit is thread-safe.
class EditProbe
{
public:
  EditProbe(Cluster& aCluster, const Deployment& aDeployment);

  /// Returns the next edit of aPlan in the format of the API.
  auto NextEdit(const std::string& aPlan) -> nlohmann::json;

  /// Sends an edit and returns the response, whose "status" is the outcome.
  auto Submit(BalancerProcess& aBalancer, const nlohmann::json& aEdit)
    -> nlohmann::json;

  /// Records that aEdit was accepted and must stay in force.
  auto MarkAccepted(const nlohmann::json& aEdit) -> void;

  /// Submits one edit and waits at most 10 s until it is in force on all
  /// balancers. Returns the seconds since the submission, or 0 when the edit
  /// was refused.
  auto EditAndWait(BalancerProcess& aBalancer, const std::string& aPlan)
    -> double;

  /// Waits until all accepted edits are in force on all balancers, at most
  /// aLimitSeconds. Returns the seconds that passed.
  auto WaitInForce(double aLimitSeconds) -> double;

  /// Reads the lists of every balancer once. Returns whether all accepted edits
  /// are in force on all of them.
  auto Poll() -> bool;

  /// Excludes a balancer from the reads, or includes it again. Paused balancers
  /// do not respond.
  auto SetSkipped(const std::string& aBalancer, bool aSkip) -> void;

  /// The number of plans whose last accepted edit is missing on some balancer.
  auto LostEdits() -> std::uint64_t;

  /// How often a balancer was seen to return to an older value.
  auto RevertedEdits() const -> std::uint64_t;

  /// Edits of EditAndWait whose status was not "accepted".
  auto RefusedEdits() const -> std::uint64_t;

  /// Adds the reverted, lost and refused edits and the propagation times, and
  /// requires that they are within their limits.
  auto AddResults(Report& aReport) -> void;

  /// Names of the deployment's plans.
  auto Plans() const -> const std::vector<std::string>&;

private:
  Cluster& m_cluster;
  std::vector<std::string> m_plans;
  std::map<std::string, nlohmann::json> m_currentEntries;
  std::map<std::string, double> m_acceptedRates;
  /// The highest rate that was read, by balancer and plan.
  std::map<std::string, std::map<std::string, double>> m_highestSeen;
  std::set<std::string> m_skippedBalancers;
  std::vector<double> m_propagationSeconds;
  double m_nextRate = 1;
  std::uint64_t m_reverted = 0;
  std::uint64_t m_refused = 0;
};

/// Number of calls that the platform's store has received.
auto StoreCalls(Cluster& aCluster) -> std::uint64_t;

/// Number of writes that the platform's store has received.
auto StoreWrites(Cluster& aCluster) -> std::uint64_t;

/// Whether the lists in the store have the revision that the first balancer
/// holds.
auto StoreHasCurrentLists(Cluster& aCluster) -> bool;

/// Balancers that watch the platform on behalf of their failure domain
/// aFailureDomain.
auto WatchersOf(Cluster& aCluster, const std::string& aFailureDomain)
  -> std::vector<BalancerProcess*>;

auto SleepSeconds(double aSeconds) -> void;

} // namespace bramleylock::measure
