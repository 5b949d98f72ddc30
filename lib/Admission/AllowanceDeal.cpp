// Whole requests are dealt first over the failure domains and then over the
// balancers of one. The first deal depends on the lists and on the set of
// domains only, so that domains which cannot hear each other never overshoot.

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
  // The rotation is a point on a circle rather than a remainder: balancers that
  // disagree about a few members then disagree about few parts only.
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
  const auto hash = Blake2bHex(aPlan + '/' + std::to_string(aPeriod));
  return std::stoull(hash.substr(0, kRotationDigits), nullptr, kHexadecimal);
}

/// Requests that are due before the start of a period; periods are counted from
/// the Unix epoch, so a double would lose fractions of large limits.
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
