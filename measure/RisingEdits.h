// Edits of the lists whose order can be seen in them.
#pragma once

#include <string>

#include "measure/Cluster.h"

namespace bramleylock::measure {

/// Raises the weight of one plan with each edit, so that a lower weight shows
/// an older list.
class RisingEdits
{
public:
  RisingEdits(Cluster& aCluster, std::string aPlan);

  /// Edits the lists that aBalancer holds; they may be behind or not accepted.
  auto Edit(BalancerProcess& aBalancer) -> void;

  /// Seconds until every running balancer has the newest accepted lists, or a
  /// negative number when that takes too long.
  auto SpreadSeconds() -> double;

  auto Accepted() const -> std::uint64_t;

  /// Edits that were accepted on top of an older list.
  auto Reverted() const -> std::uint64_t;

private:
  auto InForceEverywhere() -> bool;

  Cluster& m_cluster;
  std::string m_plan;
  /// The weight that was last accepted, and the last one that was asked for.
  double m_weight = 1;
  double m_asked = 1;
  std::uint64_t m_accepted = 0;
  std::uint64_t m_reverted = 0;
};

} // namespace bramleylock::measure
