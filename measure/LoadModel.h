// Clients and targets around real forwarders in simulated time, for what
// callers get under load. Targets work on some requests at once and queue
// a few; clients repeat first packets and retry as the platform's do.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

struct LoadOptions
{
  std::string choice = "least-wait";
  std::size_t balancers = 8;
  std::size_t targets = 14;
  double requestsPerSecond = 390;
  double meanWorkMs = 32;
  Milliseconds aim{ 150 };
  Milliseconds deadline{ 1500 };
  Milliseconds length{ 10000 };
  /// Targets that fall silent in the fourth and fifth second.
  std::size_t silentTargets = 0;
  /// How long all balancers are gone, from the third second on. They lose what
  /// they knew, come back within the spread after it, and are in rotation up to
  /// half a second later, when the platform has asked them.
  Milliseconds outage{ 0 };
  Milliseconds outageSpread{ 350 };
  /// Whether first packets are repeated before the client does.
  bool repeats = true;
  std::uint64_t seed = 1;
};

struct LoadResult
{
  std::size_t asked = 0;
  std::size_t inAim = 0;
  std::size_t late = 0;
  std::size_t failed = 0;
  /// When each request was asked, from the start, and whether it was in time.
  std::vector<std::pair<Milliseconds, bool>> outcomes{};

  auto InAim() const -> double
  {
    return static_cast<double>(inAim) / static_cast<double>(asked);
  }

  /// The share in time of those asked from aFrom to aTo.
  auto InAimBetween(Milliseconds aFrom, Milliseconds aTo) const -> double
  {
    std::size_t all = 0;
    std::size_t good = 0;
    for (const auto& [at, inTime] : outcomes) {
      const bool counts = at >= aFrom && at < aTo;
      all += counts ? 1 : 0;
      good += counts && inTime ? 1 : 0;
    }
    return static_cast<double>(good) / static_cast<double>(all);
  }
};

/// Plays one load.
class LoadModel
{
public:
  explicit LoadModel(LoadOptions aOptions);
  ~LoadModel();
  auto Run() -> LoadResult;

private:
  static constexpr Milliseconds kToClient{ 3 };
  static constexpr Milliseconds kMembersFound{ 2000 };
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueue = 8;
  static constexpr int kRetries = 2;

  struct Balancer;
  struct Request
  {
    Clock::time_point asked;
    int tries = 0;
    std::uint16_t port = 0;
    /// Ended in one way or another.
    bool over = false;
    bool answered = false;
    bool inAim = false;
  };
  struct Target
  {
    std::string id;
    bool silent = false;
    std::size_t working = 0;
    std::deque<std::size_t> queue{};
  };
  struct Event
  {
    Clock::time_point at;
    std::uint64_t order;
    std::function<void()> run;
    auto operator<(const Event& aOther) const -> bool
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  auto In(std::chrono::nanoseconds aDelay, std::function<void()> aRun) -> void
  {
    m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
  }
  auto StartBalancer(std::size_t aIndex) -> void;
  auto LosePower() -> void;
  auto Receiver(const FlowId& aFlow) -> Balancer*;
  auto Ask() -> void;
  auto Try(std::size_t aRequest) -> void;
  auto SendOpening(std::size_t aRequest, std::uint16_t aPort, int aCopy)
    -> void;
  auto Deliver(Packet aPacket) -> void;
  auto ToTarget(const std::string& aId, const Packet& aPacket) -> void;
  auto Answered(std::size_t aRequest, std::uint16_t aPort, TargetTag aTag)
    -> void;
  auto Work(Target& aTarget, std::size_t aRequest) -> void;
  auto Finished(Target& aTarget, std::size_t aRequest) -> void;
  auto Failed(std::size_t aRequest, std::uint16_t aPort) -> void;
  auto Tick() -> void;

  LoadOptions m_options;
  Random m_random;
  Clock::time_point m_start{ std::chrono::hours(1) };
  Clock::time_point m_now = m_start;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  /// Null while it has no power.
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<bool> m_inRotation;
  std::vector<Target> m_targets;
  std::vector<Request> m_requests;
  std::uint16_t m_port = 0;
  /// The request of each port's flow.
  std::vector<std::size_t> m_byPort = std::vector<std::size_t>(65536);
  LoadResult m_result;
};

} // namespace bramleylock::forward
