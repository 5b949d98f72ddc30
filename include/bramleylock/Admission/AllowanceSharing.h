// How balancers of a failure domain share a plan's allowance.
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
  /// Requests offered here in this period so far and in the one before.
  std::uint64_t offered = 0;
  std::uint64_t offeredBefore = 0;

  /// What may still be used or given.
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

  /// What to ask a peer for; 0 for nothing.
  virtual auto Wanted(const Allowance& aAllowance) const -> std::uint64_t = 0;

  /// What a peer that asks may get at most.
  virtual auto Spare(const Allowance& aAllowance) const -> std::uint64_t = 0;
};

using SharingRegistry = Registry<AllowanceSharing>;

} // namespace bramleylock::admission
