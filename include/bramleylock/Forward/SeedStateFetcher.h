// Fetches routes and targets from the seeds when a balancer starts while the
// platform's store is unavailable.
#pragma once

#include <string>
#include <vector>

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// Fetches routing state without peer authentication. The secret of the peer
/// links is kept in the store, so a newly started balancer cannot authenticate
/// to a peer while the store is unavailable. It may request data that is not
/// secret. It trusts the response as much as it trusts the store's: both
/// addresses come from its settings, and neither end is authenticated further.
class SeedStateFetcher
{
public:
  /// aSeeds are the "ip:port" addresses of peers, without this balancer.
  SeedStateFetcher(asio::io_context& aContext, RoutingState& aState,
                   Metrics& aMetrics, std::vector<std::string> aSeeds);

  /// Starts requesting state once the store has not responded for a while.
  auto Start() -> void;

  /// Stops requesting state, because the store has responded; its data replaces
  /// the fetched state.
  auto Stop() -> void;

private:
  auto FetchLoop() -> awaitable<void>;
  auto FetchFrom(const std::string& aSeed) -> awaitable<bool>;

  asio::io_context& m_context;
  RoutingState& m_state;
  Metrics& m_metrics;
  std::vector<std::string> m_seeds;
  Random m_random;
  bool m_stopped = false;
};

/// Returns the response to the packed request of a balancer that starts; it is
/// empty if the request is malformed or the state here is incomplete.
auto AnswerSeedStateRequest(RoutingState& aState,
                            const std::string& aRequestBody,
                            Clock::time_point aNow) -> std::string;

} // namespace bramleylock::forward
