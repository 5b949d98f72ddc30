// Orders the readers by capacity and derives their intervals from the time
// within which a draining target has to be known.

#include "bramleylock/Forward/ReadSchedule.h"

#include "bramleylock/Support/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::forward {

/// Time for which the intervals below are worked out. Within it, a reader may
/// fail just after its last update, so the watch timeout, two rank steps and
/// the calls stay below it. A longer time does not make them longer, because
/// the peers and the link to the store may need the rest.
static constexpr Milliseconds kUsualDrainNotice{ 3000 };

static constexpr ReadIntervals kUsualIntervals{
  .watchTimeout = Milliseconds(2000),
  // A reading takes a few milliseconds, and up to 250 ms in a store that is
  // fifty times slower than usual.
  .rankDelayStep = Milliseconds(250),
  .watchPause = Milliseconds(200),
  .staleAge = Milliseconds(3500),
};

static constexpr std::size_t kMaxRankSteps = 6;

/// Size and processing time of the reading by which VMs are compared: 1,500
/// routes are some 300 KB, and take some 40 ms of a core.
static constexpr double kLargeReadingMbit = 2.4;
static constexpr double kLargeReadingCoreSeconds = 0.04;

/// A reading of a VM in class 1 takes this long or longer.
static constexpr double kSlowestClassSeconds = 64;
static constexpr double kMaxCapacityClass = 30;

/// Response that takes 0.2 s on a link of 10 Mbit/s. Smaller ones are not worth
/// the additional call.
static constexpr std::size_t kSlowResponseBytes = 262144;

auto IntervalsFor(Milliseconds aDrainNotice) -> ReadIntervals
{
  const double scale =
    std::min(1.0, static_cast<double>(aDrainNotice.count()) /
                    static_cast<double>(kUsualDrainNotice.count()));
  const auto scaled = [scale](Milliseconds aInterval) {
    return Milliseconds(
      std::lround(static_cast<double>(aInterval.count()) * scale));
  };
  return { scaled(kUsualIntervals.watchTimeout),
           scaled(kUsualIntervals.rankDelayStep),
           scaled(kUsualIntervals.watchPause),
           scaled(kUsualIntervals.staleAge) };
}

auto ReadDelay(std::size_t aRank, const ReadIntervals& aIntervals)
  -> Milliseconds
{
  if (aRank == 0) {
    return aIntervals.watchPause;
  }
  return aIntervals.watchTimeout + aIntervals.watchPause +
         aIntervals.rankDelayStep *
           static_cast<int>(std::min(aRank, kMaxRankSteps));
}

auto CapacityClass(double aCpuShare, double aLinkMbps) -> std::uint8_t
{
  if (!(aCpuShare > 0) || !(aLinkMbps > 0)) {
    return 0;
  }
  const double seconds =
    kLargeReadingMbit / aLinkMbps + kLargeReadingCoreSeconds / aCpuShare;
  const double steps = std::floor(std::log2(kSlowestClassSeconds / seconds));
  return static_cast<std::uint8_t>(
    std::clamp(steps, 0.0, kMaxCapacityClass - 1) + 1);
}

auto RankInDomain(const std::string& aSelf,
                  std::vector<ReaderCandidate> aCandidates) -> std::size_t
{
  std::uint8_t ownClass = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.address == aSelf) {
      ownClass = candidate.capacityClass;
    }
  }
  std::size_t faster = 0;
  std::vector<std::string> equals;
  for (auto& candidate : aCandidates) {
    if (candidate.capacityClass > ownClass) {
      ++faster;
    } else if (candidate.capacityClass == ownClass) {
      equals.push_back(std::move(candidate.address));
    }
  }
  const auto order = RendezvousOrder("state-reader", std::move(equals));
  const auto position = std::find(order.begin(), order.end(), aSelf);
  return faster + static_cast<std::size_t>(position - order.begin());
}

auto WatchesStore(const ReaderPosition& aPosition, std::size_t aWatchers)
  -> bool
{
  const auto inOtherDomains = std::min(aWatchers, aPosition.domains) - 1;
  if (aPosition.domain > inOtherDomains) {
    return false;
  }
  const auto inOwnDomain =
    aPosition.domain == 0 ? aWatchers - inOtherDomains : 1;
  return aPosition.rankInDomain < inOwnDomain;
}

auto FullReadingIsSmaller(const ReadSizes& aSizes) -> bool
{
  return aSizes.incremental > kSlowResponseBytes &&
         aSizes.incremental > aSizes.full;
}

} // namespace bramleylock::forward
