// Keeps the routing state of this balancer current: from the store where it is
// this balancer's turn, and from peers otherwise.
#pragma once

#include <string>

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Peer/Broadcast.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// How long after the last known reading the balancer of aRank reads the store.
auto ReadAfter(std::size_t aRank) -> Milliseconds;

/// How many balancers are taken to share the targets before members are found,
/// aSinceStart after this one began, when aRecorded were recorded last.
auto AssumedBalancers(std::uint32_t aRecorded, Milliseconds aSinceStart)
  -> std::size_t;

/// Balancers take turns by rank: the first of the first failure domain holds a
/// watch and broadcasts its every return, also when nothing changed. Each
/// further one reads only when that news is late by its rank in its domain. So
/// nobody is elected, and nobody has to notice a failure.
class StateReader
{
public:
  StateReader(asio::io_context& aContext, StateSource& aSource,
              RoutingState& aState, peer::PeerLinks& aLinks,
              peer::Membership& aMembers, peer::Broadcast& aBroadcast,
              Metrics& aMetrics);

  /// Starts from what was read of the store before.
  auto Start() -> void;

  /// How many balancers share the targets, this one too: those that were found,
  /// and for the first seconds at least the assumed number, since after the
  /// loss of all of them each finds itself alone.
  auto Balancers(Clock::time_point aNow) const -> std::size_t;

  /// This balancer's place among those that read the store; 0 watches it.
  auto Rank() const -> std::size_t;

  /// Reads at the next chance, as after a pause in which all may have changed.
  auto Hurry() -> void;

private:
  auto ReadLoop() -> awaitable<void>;
  auto ReadOnce(std::size_t aRank) -> awaitable<void>;
  auto RecordBalancers() -> awaitable<void>;
  auto CountIsOff() const -> bool;
  auto NextReading(std::size_t aRank) -> Clock::time_point;
  auto PauseNow() const -> Milliseconds;
  auto WaitNow(std::size_t aRank) const -> Milliseconds;
  auto AskSomebody(Clock::time_point aNow) -> void;
  auto NoteFailure(const std::error_code& aError, Clock::time_point aNow)
    -> void;
  auto NoteSuccess() -> void;
  auto Request(Clock::time_point aNow) const -> RoutingRequest;
  auto TakeNews(const wire::Hello& aSender, const RoutingNews& aNews) -> void;

  asio::io_context& m_context;
  StateSource& m_source;
  RoutingState& m_state;
  peer::PeerLinks& m_links;
  peer::Membership& m_members;
  peer::Broadcast& m_broadcast;
  Metrics& m_metrics;
  Random m_random;
  ConditionVariable m_wake;
  bool m_needWhole = true;
  bool m_hurried = false;
  int m_failures = 0;
  Clock::time_point m_failedAt{};
  Clock::time_point m_retryAt{};
  Clock::time_point m_askedAt{};
  std::size_t m_lastRank = ~std::size_t{ 0 };
  Clock::time_point m_startedAt{};
  /// Since when the recorded number of balancers is off; the epoch when it is
  /// not.
  Clock::time_point m_countOffSince{};
};

} // namespace bramleylock::forward
