// Allocation of whole requests, first to the failure domains and then to the
// balancers of a domain. The first step depends only on the lists and the set
// of domains, so that partitioned domains do not exceed the limit together.

#include "bramleylock/Admission/AllowanceAllocation.h"

#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::admission {

static constexpr std::uint64_t kMillisecondsPerSecond = 1000;
static constexpr std::size_t kRotationDigits = 16;
static constexpr int kHexadecimal = 16;

static auto ShareIndexOf(const std::string& aName,
                         const std::vector<std::string>& aSorted) -> ShareIndex
{
  const auto found = std::lower_bound(aSorted.begin(), aSorted.end(), aName);
  if (found == aSorted.end() || *found != aName) {
    return {};
  }
  return { static_cast<std::size_t>(found - aSorted.begin()), aSorted.size() };
}

auto IntegerShare(std::uint64_t aTotal, ShareIndex aShareIndex,
                  std::uint64_t aRotation) -> std::uint64_t
{
  if (aShareIndex.count == 0) {
    return 0;
  }
  // The rotation is scaled to the number of holders instead of taken modulo
  // that number: balancers whose views differ in a few members then compute
  // different parts for only a few holders.
  const auto offset = ((aRotation >> 32U) * aShareIndex.count) >> 32U;
  const auto rotatedIndex = (aShareIndex.index + offset) % aShareIndex.count;
  const std::uint64_t remainderShare =
    rotatedIndex < aTotal % aShareIndex.count ? 1 : 0;
  return aTotal / aShareIndex.count + remainderShare;
}

auto DomainShareIndex(const lists::Plan& aPlan, const FleetView& aView)
  -> ShareIndex
{
  if (aPlan.failureDomains.empty()) {
    return ShareIndexOf(aView.failureDomain, aView.failureDomains);
  }
  auto domains = aPlan.failureDomains;
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return ShareIndexOf(aView.failureDomain, domains);
}

auto MemberShareIndex(const FleetView& aView) -> ShareIndex
{
  return ShareIndexOf(aView.self, aView.members);
}

auto AllocationRotation(const std::string& aPlan, std::uint64_t aPeriod)
  -> std::uint64_t
{
  const auto hash = Blake2bHex(aPlan + '/' + std::to_string(aPeriod));
  return std::stoull(hash.substr(0, kRotationDigits), nullptr, kHexadecimal);
}

/// The number of requests that the limit allows before the start of a period.
/// Periods count from the Unix epoch, so that a double would lose the fractions
/// of large limits; hence long double.
static auto RequestsBefore(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t
{
  const auto seconds = static_cast<long double>(aPeriod) * kAllowancePeriodMs /
                       kMillisecondsPerSecond;
  return static_cast<std::uint64_t>(std::floor(seconds * aRatePerSecond));
}

auto RequestsInPeriod(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t
{
  return RequestsBefore(aRatePerSecond, aPeriod + 1) -
         RequestsBefore(aRatePerSecond, aPeriod);
}

} // namespace bramleylock::admission
