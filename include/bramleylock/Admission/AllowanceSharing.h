// Strategies for moving a plan's allowance between the balancers of a failure
// domain.
#pragma once

#include <cstdint>

#include "bramleylock/Support/Registry.h"

namespace bramleylock::admission {

/// One balancer's allowance of a plan in the current period, in requests.
struct Allowance
{
  std::uint64_t dealt = 0;
  std::uint64_t received = 0;
  std::uint64_t given = 0;
  std::uint64_t used = 0;
  /// Requests offered to this balancer in this period so far, and in the
  /// previous period.
  std::uint64_t offered = 0;
  std::uint64_t offeredBefore = 0;

  /// The allowance that can still be used or granted to a peer.
  auto Left() const -> std::uint64_t
  {
    const auto gone = given + used;
    const auto had = dealt + received;
    return had > gone ? had - gone : 0;
  }
};

/// Decides how much allowance moves between two balancers.
class AllowanceSharing
{
public:
  virtual ~AllowanceSharing() = default;

  /// The allowance to request from a peer; 0 if none is needed.
  virtual auto Wanted(const Allowance& aAllowance) const -> std::uint64_t = 0;

  /// The most that may be granted to a peer that requests allowance.
  virtual auto Spare(const Allowance& aAllowance) const -> std::uint64_t = 0;
};

using SharingRegistry = Registry<AllowanceSharing>;

} // namespace bramleylock::admission
