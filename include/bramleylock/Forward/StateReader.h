// Keeps the routing state of this balancer current: reads the store when it is
// this balancer's turn, and otherwise uses updates from peers.
#pragma once

#include <string>

#include "bramleylock/Forward/ReadSchedule.h"
#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Peer/Broadcast.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// Time that members need to find each other after a start, as allowed by the
/// membership tests.
inline constexpr Milliseconds kMemberDiscoveryTime{ 4000 };

/// Returns the number of balancers assumed to share the targets before the
/// members are found, aSinceStart after this balancer started, when aRecorded
/// were recorded last.
auto AssumedBalancerCount(std::uint32_t aRecorded, Milliseconds aSinceStart)
  -> std::size_t;

/// Reads the store in turns by rank. The first balancer of the first failure
/// domain, one of those with the most capacity, watches the store and
/// broadcasts the result of each watch, also when nothing changed. Each other
/// balancer reads the store only if that update is late, by a delay that
/// depends on its rank in its domain. No leader election or failure detection
/// is needed. If a service limits the requests to targets that are warming up,
/// the first balancer of the second domain watches as well, so that the loss of
/// a domain delays no news of targets that restart.
class StateReader
{
public:
  static constexpr Milliseconds kDefaultDrainNotice{ 3000 };

  StateReader(asio::io_context& aContext, StateSource& aSource,
              RoutingState& aState, peer::PeerLinks& aLinks,
              peer::Membership& aMembers, peer::Broadcast& aBroadcast,
              Metrics& aMetrics,
              ReadIntervals aIntervals = IntervalsFor(kDefaultDrainNotice));

  /// Starts reading; continues from state that was received before, if any.
  auto Start() -> void;

  /// Returns the number of balancers that share the targets, including this
  /// one: those that were found, and in the first seconds at least the assumed
  /// number, because after the loss of all balancers each one initially finds
  /// only itself.
  auto BalancerCount(Clock::time_point aNow) const -> std::size_t;

  /// Returns the rank of this balancer among the readers; rank 0 watches the
  /// store, and writes what the balancers record there.
  auto Rank() const -> std::size_t;

  auto Intervals() const -> const ReadIntervals&;

  /// Reads the store as soon as possible, for example after a pause in which
  /// any state may have changed.
  auto ReadImmediately() -> void;

  /// Reads the store once the state as of aTime can be read, unless a peer does
  /// so first.
  auto ReadAsOf(Clock::time_point aTime) -> void;

private:
  auto ReadLoop() -> awaitable<void>;
  auto ReadOnce(std::size_t aRank) -> awaitable<void>;
  auto RecordBalancerCount() -> awaitable<void>;
  auto StartRecordingShares(std::size_t aRank) -> void;
  auto RecordFormerShares() -> awaitable<void>;
  auto RecordedCountDeviates() const -> bool;
  auto Position() const -> ReaderPosition;
  auto Watches() const -> bool;
  auto NextReadTime(std::size_t aRank) -> Clock::time_point;
  auto NeedsReading() const -> bool;
  auto CurrentWatchPause() const -> Milliseconds;
  auto CurrentWatchTimeout(std::size_t aRank) const -> Milliseconds;
  auto RequestFromRandomPeer(Clock::time_point aNow) -> void;
  auto RecordFailure(const std::error_code& aError, Clock::time_point aNow)
    -> void;
  auto RecordSuccess() -> void;
  auto CreateRequest(Clock::time_point aNow) const -> RoutingRequest;
  auto ApplyUpdate(const wire::Hello& aSender, const RoutingUpdate& aUpdate)
    -> void;

  asio::io_context& m_context;
  StateSource& m_source;
  RoutingState& m_state;
  peer::PeerLinks& m_links;
  peer::Membership& m_members;
  peer::Broadcast& m_broadcast;
  Metrics& m_metrics;
  Random m_random;
  ConditionVariable m_wake;
  ReadIntervals m_intervals;
  ReadSizes m_readSizes;
  bool m_needFullRead = true;
  bool m_readImmediately = false;
  /// The time as of which the state is needed.
  Clock::time_point m_neededAsOf{};
  int m_failedCalls = 0;
  Clock::time_point m_lastFailureAt{};
  Clock::time_point m_retryAt{};
  Clock::time_point m_requestedAt{};
  std::size_t m_lastRank = ~std::size_t{ 0 };
  Clock::time_point m_startedAt{};
  /// Time since which the recorded number of balancers has been inaccurate; the
  /// epoch while it is accurate.
  Clock::time_point m_countDeviatesSince{};
  Clock::time_point m_sharesRecordedAt{};
  bool m_recordingShares = false;
};

} // namespace bramleylock::forward
