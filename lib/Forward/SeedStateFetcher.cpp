// Requests state from the seeds in turn until one responds, then requests the
// changes periodically.

#include "bramleylock/Forward/SeedStateFetcher.h"

#include "bramleylock/Peer/SecureLink.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Messages.h"

#include <algorithm>

namespace bramleylock::forward {

/// Time that the store has to respond before seeds are asked. The platform's
/// store responds in 4 ms, and in about 240 ms at its slowest.
static constexpr Milliseconds kSeedFetchDelay{ 300 };

/// Timeout for one seed; a machine without power does not refuse connections.
static constexpr Milliseconds kSeedTimeout{ 400 };

/// Interval between rounds until a seed has responded, and after that. With the
/// second interval the state stays younger than the age from which peers
/// request updates from each other.
static constexpr Milliseconds kRetryInterval{ 200 };
static constexpr Milliseconds kRefreshInterval{ 1000 };

SeedStateFetcher::SeedStateFetcher(asio::io_context& aContext,
                                   RoutingState& aState, Metrics& aMetrics,
                                   std::vector<std::string> aSeeds)
  : m_context(aContext)
  , m_state(aState)
  , m_metrics(aMetrics)
  , m_seeds(std::move(aSeeds))
  , m_random(SecureRandomNumber())
{
}

auto SeedStateFetcher::Start() -> void
{
  if (!m_seeds.empty()) {
    Spawn(m_context, "borrow-state", FetchLoop());
  }
}

auto SeedStateFetcher::Stop() -> void
{
  m_stopped = true;
}

auto SeedStateFetcher::FetchLoop() -> awaitable<void>
{
  co_await Sleep(kSeedFetchDelay);
  while (!m_stopped) {
    // Use a random order, so that balancers that start at the same time do not
    // all ask the same seed.
    std::shuffle(m_seeds.begin(), m_seeds.end(), m_random);
    bool answered = false;
    for (const auto& seed : m_seeds) {
      answered = answered || co_await FetchFrom(seed);
      if (answered || m_stopped) {
        break;
      }
    }
    co_await Sleep(answered ? kRefreshInterval : kRetryInterval);
  }
}

auto SeedStateFetcher::FetchFrom(const std::string& aSeed) -> awaitable<bool>
{
  const RoutingRequest request{ m_state.Revision(), m_state.RoutesVersion() };
  std::error_code error;
  const auto answer = co_await peer::SendKeylessRequest(
    aSeed, wire::PackBody(request), kSeedTimeout, error);
  const auto update = wire::UnpackBody<RoutingUpdate>(answer);
  if (error || !update || !IsValid(*update)) {
    m_metrics.Add(Counter::StateBorrowFailed);
    LogInfo("state-not-borrowed",
            { { "from", aSeed },
              { "why", error ? error.message() : "malformed response" } });
    co_return false;
  }
  if (m_stopped) {
    co_return false;
  }
  const bool wasIncomplete = !m_state.IsComplete();
  const bool applied = m_state.ApplyUpdate(*update, Clock::now());
  m_metrics.Add(Counter::StateBorrowed);
  if (wasIncomplete) {
    LogInfo("state-borrowed",
            { { "from", aSeed },
              { "revision", FormatRevision(m_state.Revision()) },
              { "routes", std::to_string(m_state.RoutesVersion()) },
              { "age_ms", std::to_string(update->ageMs) },
              { "outcome", applied ? "taken" : "incomplete" } });
  }
  co_return applied;
}

auto AnswerSeedStateRequest(RoutingState& aState,
                            const std::string& aRequestBody,
                            Clock::time_point aNow) -> std::string
{
  const auto request = wire::UnpackBody<RoutingRequest>(aRequestBody);
  if (!request || !aState.IsComplete()) {
    return {};
  }
  return wire::PackBody(aState.CreateUpdate(*request, aNow));
}

} // namespace bramleylock::forward
