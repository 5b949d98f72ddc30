// Strategies for moving a plan's allowance between the balancers of a failure
// domain.
#pragma once

#include <cstdint>

#include "bramleylock/Support/Registry.h"

namespace bramleylock::admission {

/// One balancer's allowance of a plan in the current period, in requests.
struct Allowance
{
  std::uint64_t allocated = 0;
  std::uint64_t received = 0;
  std::uint64_t granted = 0;
  std::uint64_t used = 0;
  /// Requests offered to this balancer in this period so far, and in the
  /// previous period.
  std::uint64_t offered = 0;
  std::uint64_t offeredInPreviousPeriod = 0;

  /// The allowance that can still be used or granted to a peer.
  auto Remaining() const -> std::uint64_t
  {
    const auto spent = granted + used;
    const auto total = allocated + received;
    return total > spent ? total - spent : 0;
  }
};

/// Decides how much allowance moves between two balancers.
class AllowanceSharing
{
public:
  virtual ~AllowanceSharing() = default;

  /// The allowance to request from a peer; 0 if none is needed.
  virtual auto Shortfall(const Allowance& aAllowance) const
    -> std::uint64_t = 0;

  /// The most that may be granted to a peer that requests allowance.
  virtual auto Surplus(const Allowance& aAllowance) const -> std::uint64_t = 0;
};

using AllowanceSharingRegistry = Registry<AllowanceSharing>;

} // namespace bramleylock::admission
