// Allocation of whole requests, first to the failure domains and then to the
// balancers of a domain. The first step depends only on the lists and the set
// of domains, so that partitioned domains do not exceed the limit together.

#include "bramleylock/Admission/AllowanceDeal.h"

#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::admission {

static constexpr std::uint64_t kMillisecondsPerSecond = 1000;
static constexpr std::size_t kRotationDigits = 16;
static constexpr int kHexadecimal = 16;

static auto PlaceOf(const std::string& aName,
                    const std::vector<std::string>& aSorted) -> DealPlace
{
  const auto found = std::lower_bound(aSorted.begin(), aSorted.end(), aName);
  if (found == aSorted.end() || *found != aName) {
    return {};
  }
  return { static_cast<std::size_t>(found - aSorted.begin()), aSorted.size() };
}

auto DealtPart(std::uint64_t aTotal, DealPlace aPlace, std::uint64_t aRotation)
  -> std::uint64_t
{
  if (aPlace.count == 0) {
    return 0;
  }
  // The rotation is scaled to the number of holders instead of taken modulo
  // that number: balancers whose views differ in a few members then compute
  // different parts for only a few holders.
  const auto turned = ((aRotation >> 32U) * aPlace.count) >> 32U;
  const auto turn = (aPlace.position + turned) % aPlace.count;
  const std::uint64_t extra = turn < aTotal % aPlace.count ? 1 : 0;
  return aTotal / aPlace.count + extra;
}

auto DomainPlace(const lists::Plan& aPlan, const FleetView& aView) -> DealPlace
{
  if (aPlan.failureDomains.empty()) {
    return PlaceOf(aView.failureDomain, aView.failureDomains);
  }
  auto domains = aPlan.failureDomains;
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return PlaceOf(aView.failureDomain, domains);
}

auto MemberPlace(const FleetView& aView) -> DealPlace
{
  return PlaceOf(aView.self, aView.members);
}

auto RotationOf(const std::string& aPlan, std::uint64_t aPeriod)
  -> std::uint64_t
{
  const auto hash = HashHex(aPlan + '/' + std::to_string(aPeriod));
  return std::stoull(hash.substr(0, kRotationDigits), nullptr, kHexadecimal);
}

/// The number of requests that the limit allows before the start of a period.
/// Periods count from the Unix epoch, so that a double would lose the fractions
/// of large limits; hence long double.
static auto DueBefore(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t
{
  const auto seconds = static_cast<long double>(aPeriod) * kAllowancePeriodMs /
                       kMillisecondsPerSecond;
  return static_cast<std::uint64_t>(std::floor(seconds * aRatePerSecond));
}

auto RequestsInPeriod(double aRatePerSecond, std::uint64_t aPeriod)
  -> std::uint64_t
{
  return DueBefore(aRatePerSecond, aPeriod + 1) -
         DueBefore(aRatePerSecond, aPeriod);
}

} // namespace bramleylock::admission
