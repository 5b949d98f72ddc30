// Requests state from the seeds in turn until one responds, then requests the
// changes periodically.

#include "bramleylock/Forward/StateBorrower.h"

#include "bramleylock/Peer/SecureLink.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Messages.h"

#include <algorithm>

namespace bramleylock::forward {

/// Time the store has to respond before seeds are asked. The platform's store
/// responds in 4 ms, and in about 240 ms at its slowest.
static constexpr Milliseconds kSeedFetchDelay{ 300 };

/// Timeout for one seed; a machine without power does not refuse connections.
static constexpr Milliseconds kSeedTimeout{ 400 };

/// Interval between rounds until a seed has responded, and after that. With the
/// second one the state stays as recent as the age at which peers request
/// updates from each other.
static constexpr Milliseconds kRetryInterval{ 200 };
static constexpr Milliseconds kRefreshInterval{ 1000 };

StateBorrower::StateBorrower(asio::io_context& aContext, RoutingState& aState,
                             Metrics& aMetrics, std::vector<std::string> aSeeds)
  : m_context(aContext)
  , m_state(aState)
  , m_metrics(aMetrics)
  , m_seeds(std::move(aSeeds))
  , m_random(SecretNumber())
{
}

auto StateBorrower::Start() -> void
{
  if (!m_seeds.empty()) {
    Spawn(m_context, "borrow-state", FetchLoop());
  }
}

auto StateBorrower::Stop() -> void
{
  m_stopped = true;
}

auto StateBorrower::FetchLoop() -> awaitable<void>
{
  co_await Sleep(kSeedFetchDelay);
  while (!m_stopped) {
    // Use a random order, so that balancers that start together do not all ask
    // the same seed.
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

auto StateBorrower::FetchFrom(const std::string& aSeed) -> awaitable<bool>
{
  const RoutingRequest request{ m_state.Revision(), m_state.RoutesVersion() };
  std::error_code error;
  const auto answer = co_await peer::AskWithoutKey(
    aSeed, wire::PackBody(request), kSeedTimeout, error);
  const auto news = wire::UnpackBody<RoutingNews>(answer);
  if (error || !news || !IsSound(*news)) {
    m_metrics.Add(Counter::StateBorrowFailed);
    LogInfo("state-not-borrowed",
            { { "from", aSeed },
              { "why", error ? error.message() : "malformed response" } });
    co_return false;
  }
  if (m_stopped) {
    co_return false;
  }
  const bool first = !m_state.Complete();
  const bool applied = m_state.TakeNews(*news, Clock::now());
  m_metrics.Add(Counter::StateBorrowed);
  if (first) {
    LogInfo("state-borrowed",
            { { "from", aSeed },
              { "revision", std::to_string(m_state.Revision()) },
              { "routes", std::to_string(m_state.RoutesVersion()) },
              { "age_ms", std::to_string(news->ageMs) },
              { "outcome", applied ? "taken" : "incomplete" } });
  }
  co_return applied;
}

auto AnswerBorrower(RoutingState& aState, const std::string& aQuestion,
                    Clock::time_point aNow) -> std::string
{
  const auto request = wire::UnpackBody<RoutingRequest>(aQuestion);
  if (!request || !aState.Complete()) {
    return {};
  }
  return wire::PackBody(aState.Answer(*request, aNow));
}

} // namespace bramleylock::forward
