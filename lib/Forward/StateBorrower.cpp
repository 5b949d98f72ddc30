// Asks the seeds in turn until one answers, and again for what has changed.

#include "bramleylock/Forward/StateBorrower.h"

#include "bramleylock/Peer/SecureLink.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Messages.h"

#include <algorithm>

namespace bramleylock::forward {

/// How long the store may take before peers are asked: the platform's answers
/// in 4 ms, and in some 240 when it is at its slowest.
static constexpr Milliseconds kStoreFirst{ 300 };

/// How long one seed may take; a machine without power does not refuse.
static constexpr Milliseconds kAskTimeout{ 400 };

/// Pause between rounds until a seed has answered, and after that, when the
/// state is no older than by which peers ask each other for news.
static constexpr Milliseconds kAskAgain{ 200 };
static constexpr Milliseconds kRefreshEvery{ 1000 };

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
    Spawn(m_context, "borrow-state", AskLoop());
  }
}

auto StateBorrower::Stop() -> void
{
  m_stopped = true;
}

auto StateBorrower::AskLoop() -> awaitable<void>
{
  co_await Sleep(kStoreFirst);
  while (!m_stopped) {
    // Each in another order, so that a herd does not ask the same seed.
    std::shuffle(m_seeds.begin(), m_seeds.end(), m_random);
    bool answered = false;
    for (const auto& seed : m_seeds) {
      answered = answered || co_await AskOne(seed);
      if (answered || m_stopped) {
        break;
      }
    }
    co_await Sleep(answered ? kRefreshEvery : kAskAgain);
  }
}

auto StateBorrower::AskOne(const std::string& aSeed) -> awaitable<bool>
{
  const RoutingRequest request{ m_state.Revision(), m_state.RoutesVersion() };
  std::error_code error;
  const auto answer = co_await peer::SendKeylessRequest(
    aSeed, wire::PackBody(request), kAskTimeout, error);
  const auto news = wire::UnpackBody<RoutingNews>(answer);
  if (error || !news || !IsSound(*news)) {
    m_metrics.Add(Counter::StateBorrowFailed);
    LogInfo("state-not-borrowed",
            { { "from", aSeed },
              { "why", error ? error.message() : "malformed answer" } });
    co_return false;
  }
  if (m_stopped) {
    co_return false;
  }
  const bool first = !m_state.Complete();
  const bool taken = m_state.TakeNews(*news, Clock::now());
  m_metrics.Add(Counter::StateBorrowed);
  if (first) {
    LogInfo("state-borrowed",
            { { "from", aSeed },
              { "revision", std::to_string(m_state.Revision()) },
              { "routes", std::to_string(m_state.RoutesVersion()) },
              { "age_ms", std::to_string(news->ageMs) },
              { "outcome", taken ? "taken" : "incomplete" } });
  }
  co_return taken;
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
