// Edits the lists with increasing values, so that reverted edits are detected.
#pragma once

#include <string>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// Increases the weight of one plan with each edit, so that a lower weight
/// reveals an older version of the lists.
class RisingEdits
{
public:
  RisingEdits(Cluster& aCluster, std::string aPlan);

  /// Edits the lists that aBalancer holds. These may be older than the last
  /// accepted edit, and the edit may be refused.
  auto Edit(BalancerProcess& aBalancer) -> void;

  /// Seconds until every running balancer holds the last accepted lists, or -1
  /// after 4 s.
  auto PropagationSeconds() -> double;

  auto Accepted() const -> std::uint64_t;

  /// Edits that were accepted although they were based on older lists.
  auto Reverted() const -> std::uint64_t;

private:
  auto InForceEverywhere() -> bool;

  Cluster& m_cluster;
  std::string m_plan;
  /// The last weight that was accepted, and the last one that was submitted.
  double m_acceptedWeight = 1;
  double m_submittedWeight = 1;
  std::uint64_t m_acceptedCount = 0;
  std::uint64_t m_revertedCount = 0;
};

} // namespace bramleylock::measure
