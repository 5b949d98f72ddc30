// What the balancers of a cluster hold of each other and of the lists.
#pragma once

#include <map>
#include <string>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// Revisions by balancer, and how often one was seen to fall.
class RevisionWatch
{
public:
  /// Reads the revision of every running balancer.
  auto Look(Cluster& aCluster) -> void;

  auto Reverted() const -> std::uint64_t;

private:
  std::map<std::string, std::uint64_t> m_last;
  std::uint64_t m_reverted = 0;
};

/// Whether every running listed balancer holds exactly the others alive and
/// all have one lists revision. Other domains count as far as a summary names
/// them, so this is for fleets with at most 8 balancers a domain.
auto ViewsAgree(Cluster& aCluster) -> bool;

/// Seconds until ViewsAgree, or aLimit.
auto SecondsUntilAgreed(Cluster& aCluster, RevisionWatch& aWatch, double aLimit)
  -> double;

/// Changes the weight of the first plan through aBalancer; returns the new
/// revision, 0 when it was not accepted.
auto EditWeight(Cluster& aCluster, BalancerProcess& aBalancer, double aWeight)
  -> std::uint64_t;

} // namespace bramleylock::measure
