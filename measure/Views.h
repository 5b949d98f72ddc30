// Compares the membership views and lists revisions of a cluster's balancers.
#pragma once

#include <map>
#include <string>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// Tracks the lists revision of each balancer and counts decreases.
class RevisionMonitor
{
public:
  /// Reads the revision of every running balancer.
  auto Poll(Cluster& aCluster) -> void;

  /// How often a balancer's revision was seen to decrease.
  auto Reverted() const -> std::uint64_t;

private:
  std::map<std::string, std::uint64_t> m_lastRevisions;
  std::uint64_t m_reverted = 0;
};

/// Whether every running listed balancer considers exactly the others alive and
/// all hold the same lists revision. Members of other failure domains are
/// visible only if the summary of their domain names them, so this works for
/// fleets with at most 8 balancers per failure domain.
auto ViewsAgree(Cluster& aCluster) -> bool;

/// Returns the seconds until ViewsAgree returns true, or aLimit. Meanwhile
/// aMonitor checks the revisions.
auto SecondsUntilConverged(Cluster& aCluster, RevisionMonitor& aMonitor,
                           double aLimit) -> double;

/// Changes the weight of the first plan through aBalancer. Returns the new
/// revision, or 0 when the edit was not accepted.
auto EditWeight(Cluster& aCluster, BalancerProcess& aBalancer, double aWeight)
  -> std::uint64_t;

} // namespace bramleylock::measure
