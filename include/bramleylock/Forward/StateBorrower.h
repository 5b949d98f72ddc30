// Routes and targets from the seeds, for a balancer that starts while the
// platform's store does not answer.
#pragma once

#include <string>
#include <vector>

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// The secret of the peer links stands in the store, so a balancer that has
/// just started cannot prove itself to a peer while the store is away. It may
/// ask for what is no secret, and trusts the answer as far as it trusts the
/// store's: both addresses are from its settings, and neither end proves more.
class StateBorrower
{
public:
  /// aSeeds are "ip:port" of peers, without this balancer.
  StateBorrower(asio::io_context& aContext, RoutingState& aState,
                Metrics& aMetrics, std::vector<std::string> aSeeds);

  /// Begins to ask when the store has not answered for a while.
  auto Start() -> void;

  /// The store has answered; its word replaces what was borrowed.
  auto Stop() -> void;

private:
  auto AskLoop() -> awaitable<void>;
  auto AskOne(const std::string& aSeed) -> awaitable<bool>;

  asio::io_context& m_context;
  RoutingState& m_state;
  Metrics& m_metrics;
  std::vector<std::string> m_seeds;
  Random m_random;
  bool m_stopped = false;
};

/// The answer to a balancer that asks with aQuestion; empty when there is none.
auto AnswerBorrower(RoutingState& aState, const std::string& aQuestion,
                    Clock::time_point aNow) -> std::string;

} // namespace bramleylock::forward
