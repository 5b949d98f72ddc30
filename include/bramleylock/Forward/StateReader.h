// Keeps the routing state of this balancer current: from the store where it is
// this balancer's turn, and from peers otherwise.
#pragma once

#include <functional>
#include <string>

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// How long after the last known reading the balancer of aRank in its failure
/// domain reads the store.
auto ReadAfter(std::size_t aRank) -> Milliseconds;

/// Balancers of a failure domain take turns by rank: the first holds a watch
/// and tells the others at its every return, also when nothing changed; each
/// further one reads only when that news is late by its rank. So nobody is
/// elected, and nobody has to notice a failure.
class StateReader
{
public:
  StateReader(asio::io_context& aContext, StateSource& aSource,
              RoutingState& aState, peer::PeerLinks& aLinks,
              peer::Membership& aMembers, Metrics& aMetrics);

  auto Start() -> void;

  /// Reads at the next chance, as after a pause in which all may have changed.
  auto Hurry() -> void;

private:
  auto ReadLoop() -> awaitable<void>;
  auto ReadOnce() -> awaitable<bool>;
  auto NextReading() -> Clock::time_point;
  auto Rank() const -> std::size_t;
  auto AskSomebody(Clock::time_point aNow) -> void;
  auto NoteFailure(const std::error_code& aError, Clock::time_point aNow)
    -> void;
  auto NoteSuccess(Clock::time_point aNow) -> void;
  auto TellDomain(const RoutingNews& aNews) -> void;
  auto TakeNews(const wire::Hello& aSender, const RoutingNews& aNews) -> void;

  asio::io_context& m_context;
  StateSource& m_source;
  RoutingState& m_state;
  peer::PeerLinks& m_links;
  peer::Membership& m_members;
  Metrics& m_metrics;
  Random m_random;
  Signal m_wake;
  bool m_needWhole = true;
  bool m_hurried = false;
  int m_failures = 0;
  Clock::time_point m_failedAt{};
  Clock::time_point m_retryAt{};
  Clock::time_point m_askedAt{};
  std::size_t m_lastRank = ~std::size_t{ 0 };
};

} // namespace bramleylock::forward
