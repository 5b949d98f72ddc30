// Implementations of AllowanceSharing, selectable by name in the settings.

#include "bramleylock/Admission/AllowanceSharing.h"

#include <algorithm>

namespace bramleylock::admission {

namespace {

/// Every balancer keeps its allocation; no allowance moves.
class StaticSharing : public AllowanceSharing
{
public:
  auto Wanted(const Allowance&) const -> std::uint64_t override { return 0; }

  auto Spare(const Allowance&) const -> std::uint64_t override { return 0; }
};

/// An estimate of the requests offered by the end of the period.
auto Expected(const Allowance& aAllowance) -> std::uint64_t
{
  return std::max(aAllowance.offered, aAllowance.offeredBefore);
}

/// Moves allowance to the balancers where requests are offered, as estimated
/// from the current and the previous period.
class TransferSharing : public AllowanceSharing
{
public:
  auto Wanted(const Allowance& aAllowance) const -> std::uint64_t override
  {
    const auto needed = Expected(aAllowance) + aAllowance.given;
    const auto had = aAllowance.dealt + aAllowance.received;
    return needed > had ? needed - had : 0;
  }

  auto Spare(const Allowance& aAllowance) const -> std::uint64_t override
  {
    const auto needed = Expected(aAllowance) + aAllowance.given;
    const auto had = aAllowance.dealt + aAllowance.received;
    return needed < had ? std::min(had - needed, aAllowance.Left()) : 0;
  }
};

const Registration<SharingRegistry, StaticSharing> kStatic("static");
const Registration<SharingRegistry, TransferSharing> kTransfer("transfer");

} // namespace

} // namespace bramleylock::admission
