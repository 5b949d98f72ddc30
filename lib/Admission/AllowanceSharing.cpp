// The ways of sharing that settings can name.

#include "bramleylock/Admission/AllowanceSharing.h"

#include <algorithm>

namespace bramleylock::admission {

namespace {

/// Every balancer keeps what it is dealt.
class StaticSharing : public AllowanceSharing
{
public:
  auto Wanted(const Allowance&) const -> std::uint64_t override { return 0; }

  auto Spare(const Allowance&) const -> std::uint64_t override { return 0; }
};

/// What is likely to be offered by the end of the period.
auto Expected(const Allowance& aAllowance) -> std::uint64_t
{
  return std::max(aAllowance.offered, aAllowance.offeredBefore);
}

/// Allowance follows what is offered, as the last period showed it.
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
