// Which balancer reads the store, and when. The load: a large configuration
// that changes several times a second, read by VMs of which most are small.

#include "bramleylock/Forward/ReadSchedule.h"
#include "bramleylock/Support/Rendezvous.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::forward;

static auto Candidates(std::size_t aCount, std::uint8_t aClass)
  -> std::vector<ReaderCandidate>
{
  std::vector<ReaderCandidate> candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    candidates.push_back({ "10.0.0." + std::to_string(i) + ":1", aClass });
  }
  return candidates;
}

// Guards against a reader of 0.028 cores and 10 Mbit/s beside one of 0.5 cores
// and 200 Mbit/s: a change was known to the peers 5 s after it was written.
Test(ReadSchedule, FastestVmReadsFirst)
{
  auto candidates = Candidates(18, CapacityClass(0.028, 10));
  candidates[7].capacityClass = CapacityClass(0.5, 200);
  cr_assert(candidates[7].capacityClass > candidates[0].capacityClass);
  cr_assert(RankInDomain(candidates[7].address, candidates) == 0);
  std::vector<std::size_t> ranks;
  ranks.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranks.push_back(RankInDomain(candidate.address, candidates));
  }
  std::sort(ranks.begin(), ranks.end());
  for (std::size_t i = 0; i < ranks.size(); ++i) {
    cr_assert(ranks[i] == i, "ranks are distinct and without gaps");
  }
}

// Guards against another order of readers in deployments of equal VMs.
Test(ReadSchedule, EqualVmsKeepTheRendezvousOrder)
{
  for (const std::uint8_t capacityClass :
       { std::uint8_t{ 0 }, CapacityClass(0.055, 1000) }) {
    const auto candidates = Candidates(8, capacityClass);
    std::vector<std::string> addresses;
    addresses.reserve(candidates.size());
    for (const auto& candidate : candidates) {
      addresses.push_back(candidate.address);
    }
    const auto order = RendezvousOrder("state-reader", addresses);
    for (std::size_t i = 0; i < order.size(); ++i) {
      cr_assert(RankInDomain(order[i], candidates) == i);
    }
  }
}

// Guards against a reader whose capacity is unknown, such as one of an older
// build, before one that is known to be fast.
Test(ReadSchedule, UnknownCapacityRanksLast)
{
  cr_assert(CapacityClass(0, 200) == 0);
  cr_assert(CapacityClass(0.5, 0) == 0);
  cr_assert(CapacityClass(0.001, 0.1) >= 1);
  auto candidates = Candidates(2, 0);
  candidates[1].capacityClass = CapacityClass(0.028, 10);
  cr_assert(RankInDomain(candidates[1].address, candidates) == 0);
}

// Guards against readers that change places over small differences: links and
// cores within a factor of two are of one class or of adjacent ones.
Test(ReadSchedule, ClassGrowsWithBothCapacities)
{
  cr_assert(CapacityClass(0.5, 200) > CapacityClass(0.5, 10));
  cr_assert(CapacityClass(0.5, 200) > CapacityClass(0.05, 200));
  cr_assert(CapacityClass(0.5, 200) - CapacityClass(0.4, 160) <= 1);
}

// Guards against a drain that is known too late: the reader fails just after
// its last update, and the next two readers wait for their turn. A second is
// left for calls and for the way to the peers.
Test(ReadSchedule, StandByReadersMeetTheDrainNotice)
{
  for (const int notice : { 500, 1000, 2000, 3000, 5000, 60000 }) {
    const Milliseconds drainNotice(notice);
    const auto intervals = IntervalsFor(drainNotice);
    cr_assert(ReadDelay(2, intervals) <= drainNotice * 9 / 10);
    cr_assert(ReadDelay(0, intervals) < ReadDelay(1, intervals));
    cr_assert(ReadDelay(1, intervals) < ReadDelay(2, intervals));
  }
}

// Guards against slower reading where the notice is longer than 3 s, and
// against other intervals than before at 3 s.
Test(ReadSchedule, LongerNoticesDoNotSlowReadingDown)
{
  const auto usual = IntervalsFor(Milliseconds(3000));
  cr_assert(usual.watchTimeout == Milliseconds(2000));
  cr_assert(usual.rankDelayStep == Milliseconds(250));
  cr_assert(usual.watchPause == Milliseconds(200));
  cr_assert(usual.staleAge == Milliseconds(3500));
  cr_assert(IntervalsFor(Milliseconds(5000)).watchTimeout ==
            usual.watchTimeout);
  cr_assert(IntervalsFor(Milliseconds(1500)).watchTimeout ==
            Milliseconds(1000));
}

// Guards against a reader that falls further behind with each watch, because
// its responses contain every version that was written meanwhile.
Test(ReadSchedule, ManyVersionsAreSkippedByAFullReading)
{
  constexpr std::size_t kFull = 340000;
  cr_assert(!FullReadingIsSmaller({ kFull, 0 }));
  cr_assert(!FullReadingIsSmaller({ kFull, 300000 }));
  cr_assert(FullReadingIsSmaller({ kFull, 5 * kFull }));
  // An additional call is not worth while responses are short.
  cr_assert(!FullReadingIsSmaller({ 20000, 60000 }));
  // The first full reading of a balancer is made before it joins its peers, so
  // its size is not known.
  cr_assert(FullReadingIsSmaller({ 0, 5 * kFull }));
}

/// The loss of a failure domain must not leave the store unwatched.
Test(ReadSchedule, WatchersAreInDifferentDomainsIfThereAreSeveral)
{
  cr_assert(WatchesStore({ 0, 3, 0 }, 1));
  cr_assert(!WatchesStore({ 1, 3, 0 }, 1));
  cr_assert(!WatchesStore({ 0, 3, 1 }, 1));
  cr_assert(WatchesStore({ 0, 3, 0 }, 2));
  cr_assert(WatchesStore({ 1, 3, 0 }, 2));
  cr_assert(!WatchesStore({ 0, 3, 1 }, 2));
  cr_assert(!WatchesStore({ 1, 3, 1 }, 2));
  cr_assert(!WatchesStore({ 2, 3, 0 }, 2));
  cr_assert(WatchesStore({ 0, 1, 0 }, 2));
  cr_assert(WatchesStore({ 0, 1, 1 }, 2));
  cr_assert(!WatchesStore({ 0, 1, 2 }, 2));
}
