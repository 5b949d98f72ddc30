// Implementations of AllowanceSharing, selectable by name in the settings.

#include "bramleylock/Admission/AllowanceSharing.h"

#include <algorithm>

namespace bramleylock::admission {

namespace {

/// Every balancer keeps its allocation; no allowance moves.
class StaticSharing : public AllowanceSharing
{
public:
  auto Shortfall(const Allowance&) const -> std::uint64_t override { return 0; }

  auto Surplus(const Allowance&) const -> std::uint64_t override { return 0; }
};

/// An estimate of the requests offered by the end of the period.
auto Expected(const Allowance& aAllowance) -> std::uint64_t
{
  return std::max(aAllowance.offered, aAllowance.offeredInPreviousPeriod);
}

/// Moves allowance to the balancers where requests are offered, as estimated
/// from the current and the previous period.
class TransferSharing : public AllowanceSharing
{
public:
  auto Shortfall(const Allowance& aAllowance) const -> std::uint64_t override
  {
    const auto needed = Expected(aAllowance) + aAllowance.granted;
    const auto total = aAllowance.allocated + aAllowance.received;
    return needed > total ? needed - total : 0;
  }

  auto Surplus(const Allowance& aAllowance) const -> std::uint64_t override
  {
    const auto needed = Expected(aAllowance) + aAllowance.granted;
    const auto total = aAllowance.allocated + aAllowance.received;
    return needed < total ? std::min(total - needed, aAllowance.Remaining())
                          : 0;
  }
};

const Registration<AllowanceSharingRegistry, StaticSharing> kStatic("static");
const Registration<AllowanceSharingRegistry, TransferSharing> kTransfer(
  "transfer");

} // namespace

} // namespace bramleylock::admission
