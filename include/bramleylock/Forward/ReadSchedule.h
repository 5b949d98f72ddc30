// Decides which balancer reads the store and when. Independent of sockets and
// clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

/// Intervals of reading the store and of exchanging its state with peers.
struct ReadIntervals
{
  /// Timeout of a watch.
  Milliseconds watchTimeout{};
  /// Additional delay per rank of a reader.
  Milliseconds rankDelayStep{};
  /// Pause between two watches, so that changes in quick succession are read
  /// together.
  Milliseconds watchPause{};
  /// Age from which state is requested from a random peer.
  Milliseconds staleAge{};
};

/// Returns the intervals for a deployment in which every balancer has to know
/// within aDrainNotice that a target drains.
auto IntervalsFor(Milliseconds aDrainNotice) -> ReadIntervals;

/// Returns the delay after the last known reading at which the balancer of
/// aRank reads the store.
auto ReadDelay(std::size_t aRank, const ReadIntervals& aIntervals)
  -> Milliseconds;

/// Returns the class of a VM by the time in which it can process a large
/// reading of the store: VMs of the next class are twice as fast. 0 if a
/// capacity is unknown.
auto CapacityClass(double aCpuShare, double aLinkMbps) -> std::uint8_t;

/// A balancer that may read the store.
struct ReaderCandidate
{
  std::string address;
  std::uint8_t capacityClass = 0;
};

/// Returns the rank of the balancer at aSelf among the candidates of its
/// failure domain: those of a higher class first, in rendezvous order within a
/// class.
auto RankInDomain(const std::string& aSelf,
                  std::vector<ReaderCandidate> aCandidates) -> std::size_t;

/// Position of a balancer among the readers: that of its failure domain in the
/// order of all domains, and its rank there.
struct ReaderPosition
{
  std::size_t domain = 0;
  std::size_t domains = 1;
  std::size_t rankInDomain = 0;
};

/// Returns whether the balancer at aPosition watches the store, if aWatchers
/// balancers do. They are in different failure domains if there are that many.
auto WatchesStore(const ReaderPosition& aPosition, std::size_t aWatchers)
  -> bool;

/// Sizes of the store's responses to the last readings; 0 if unknown.
struct ReadSizes
{
  std::size_t full = 0;
  std::size_t incremental = 0;
};

/// Returns whether the next reading should be a full one: the responses to
/// watches contain every version of each changed key and have become larger
/// than the full state, which contains only the latest ones.
auto FullReadingIsSmaller(const ReadSizes& aSizes) -> bool;

} // namespace bramleylock::forward
