// Clients and targets around real forwarders in simulated time, for tests of
// what callers get under load. Targets work on some requests at once and queue
// a few; clients repeat first packets and retry as the platform's do.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bramleylock/Forward/StateReader.h"
#include "unittests/Forward/TestForward.h"

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

struct LoadModel::Balancer : PacketSink
{
  Balancer(LoadModel& aModel, const LoadOptions& aOptions, std::uint64_t aSeed)
    : model(aModel)
    , choice(FlowChoiceRegistry::Instance().Create(aOptions.choice))
    , targets(codec)
    , forwarder(codec, routes, targets, *choice, *this, metrics,
                { "here", std::chrono::seconds(60), aSeed })
  {
    routes.Install(MakeRoutes(1), model.m_now);
    forwarder.SetBalancers(aOptions.balancers);
  }

  auto ToTarget(const DirectoryEntry& aTarget, const char* aData,
                std::size_t aSize) -> void override
  {
    const auto packet = *codec.Decode(aData, aSize);
    model.In(std::chrono::microseconds(500),
             [&model = model, id = aTarget.record.id, packet] {
               model.ToTarget(id, packet);
             });
  }

  auto ToClient(const Address& aClient, std::string) -> void override
  {
    model.In(kToClient, [&model = model, aClient] {
      model.Failed(model.m_byPort[aClient.port], aClient.port);
    });
  }

  auto Flush() -> void override {}

  LoadModel& model;
  FakeCodec codec;
  Metrics metrics;
  std::unique_ptr<FlowChoice> choice;
  RouteTable routes;
  TargetDirectory targets;
  Forwarder forwarder;
};

inline LoadModel::LoadModel(LoadOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.seed)
{
  for (std::size_t i = 0; i < m_options.targets; ++i) {
    m_targets.push_back({ std::string(1, static_cast<char>('a' + i)) });
  }
  m_balancers.resize(m_options.balancers);
  m_inRotation.resize(m_options.balancers, true);
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    StartBalancer(i);
  }
}

inline auto LoadModel::StartBalancer(std::size_t aIndex) -> void
{
  auto& balancer = m_balancers[aIndex];
  balancer = std::make_unique<Balancer>(*this, m_options, m_random());
  for (const auto& target : m_targets) {
    balancer->targets.Apply(MakeTarget(target.id, 5), m_now);
  }
}

inline auto LoadModel::LosePower() -> void
{
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    m_balancers[i].reset();
    m_inRotation[i] = false;
    const auto spread = std::max<long>(1, m_options.outageSpread.count());
    const auto startsAfter =
      m_options.outage + Milliseconds(m_random() % spread);
    In(startsAfter, [this, i] {
      StartBalancer(i);
      m_balancers[i]->forwarder.SetBalancers(AssumedBalancers(
        static_cast<std::uint32_t>(m_options.balancers)));
    });
    In(startsAfter + kMembersFound, [this, i] {
      m_balancers[i]->forwarder.SetBalancers(m_options.balancers);
    });
    In(startsAfter + Milliseconds(m_random() % 500),
       [this, i] { m_inRotation[i] = true; });
  }
}

/// The platform hashes over the balancers in rotation, or over all of them
/// while fewer than half are.
inline auto LoadModel::Receiver(const FlowId& aFlow) -> Balancer*
{
  std::vector<std::size_t> in;
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    if (m_inRotation[i]) {
      in.push_back(i);
    }
  }
  const auto hash = FlowIdHash{}(aFlow);
  return 2 * in.size() < m_options.balancers
           ? m_balancers[hash % m_balancers.size()].get()
           : m_balancers[in[hash % in.size()]].get();
}

inline auto LoadModel::Run() -> LoadResult
{
  In({}, [this] { Ask(); });
  In({}, [this] { Tick(); });
  In(Milliseconds(4000), [this] {
    for (std::size_t i = 0; i < m_options.silentTargets; ++i) {
      m_targets[i].silent = true;
    }
  });
  if (m_options.outage.count() > 0) {
    In(Milliseconds(3000), [this] { LosePower(); });
  }
  In(Milliseconds(6000), [this] {
    for (auto& target : m_targets) {
      target.silent = false;
    }
  });
  const auto end = m_start + m_options.length + m_options.deadline;
  while (!m_events.empty() && m_events.top().at < end) {
    const auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }
  m_result.asked = m_requests.size();
  m_result.failed = m_result.asked - m_result.inAim - m_result.late;
  for (const auto& request : m_requests) {
    m_result.outcomes.emplace_back(
      std::chrono::duration_cast<Milliseconds>(request.asked - m_start),
      request.inAim);
  }
  return m_result;
}

inline auto LoadModel::Ask() -> void
{
  std::exponential_distribution<double> pause(m_options.requestsPerSecond);
  if (m_now < m_start + m_options.length) {
    In(std::chrono::nanoseconds(static_cast<long>(pause(m_random) * 1e9)),
       [this] { Ask(); });
    m_requests.push_back({ m_now });
    Try(m_requests.size() - 1);
  }
}

inline auto LoadModel::Try(std::size_t aRequest) -> void
{
  auto& request = m_requests[aRequest];
  const auto port = ++m_port;
  request.port = port;
  request.answered = false;
  ++request.tries;
  m_byPort[port] = aRequest;
  SendOpening(aRequest, port, 0);
  In(Milliseconds(200), [=, this] { SendOpening(aRequest, port, 1); });
  In(Milliseconds(600), [=, this] { SendOpening(aRequest, port, 2); });
  In(Milliseconds(1400), [=, this] {
    if (!m_requests[aRequest].answered) {
      Failed(aRequest, port);
    }
  });
}

inline auto LoadModel::SendOpening(std::size_t aRequest, std::uint16_t aPort,
                                   int aCopy) -> void
{
  const auto& request = m_requests[aRequest];
  if (request.over || request.answered || request.port != aPort) {
    return;
  }
  auto opening = TestForward::Opening(aPort);
  opening.acknowledgement = static_cast<std::uint32_t>(aCopy);
  Deliver(opening);
}

/// A packet of a client on its way to the balancer of its flow.
inline auto LoadModel::Deliver(Packet aPacket) -> void
{
  In(kToClient, [this, aPacket] {
    auto* balancer = Receiver(aPacket.flow);
    if (balancer == nullptr) {
      return;
    }
    auto data = FakeCodec::Bytes(aPacket);
    balancer->forwarder.OnDatagram(data.data(), data.size(), m_now);
    if (m_options.repeats) {
      balancer->forwarder.RepeatUnanswered(m_now);
    }
  });
}

inline auto LoadModel::ToTarget(const std::string& aId, const Packet& aPacket)
  -> void
{
  auto& target = m_targets[static_cast<std::size_t>(aId[0] - 'a')];
  if (target.silent) {
    return;
  }
  const auto port = aPacket.flow.client.port;
  const auto request = m_byPort[port];
  if (aPacket.opens) {
    In(kToClient, [=, this] { Answered(request, port, aPacket.tag); });
  } else if (!aPacket.ends) {
    Work(target, request);
  }
}

inline auto LoadModel::Answered(std::size_t aRequest, std::uint16_t aPort,
                                TargetTag aTag) -> void
{
  auto& request = m_requests[aRequest];
  if (request.over || request.answered || request.port != aPort) {
    return;
  }
  request.answered = true;
  auto asking = TestForward::Following(TestForward::Opening(aPort), aTag);
  asking.carriesData = true;
  Deliver(asking);
}

inline auto LoadModel::Work(Target& aTarget, std::size_t aRequest) -> void
{
  if (aTarget.working < kSlots) {
    ++aTarget.working;
    std::gamma_distribution<double> work(4, m_options.meanWorkMs / 4);
    In(std::chrono::nanoseconds(static_cast<long>(work(m_random) * 1e6)),
       [this, &aTarget, aRequest] { Finished(aTarget, aRequest); });
  } else if (aTarget.queue.size() < kQueue) {
    aTarget.queue.push_back(aRequest);
  } else {
    const auto port = m_requests[aRequest].port;
    In(kToClient, [=, this] { Failed(aRequest, port); });
  }
}

inline auto LoadModel::Finished(Target& aTarget, std::size_t aRequest) -> void
{
  --aTarget.working;
  if (!aTarget.queue.empty()) {
    const auto next = aTarget.queue.front();
    aTarget.queue.pop_front();
    Work(aTarget, next);
  }
  if (aTarget.silent) {
    return;
  }
  In(kToClient, [this, &aTarget, aRequest] {
    auto& request = m_requests[aRequest];
    if (!request.over) {
      request.over = true;
      const auto took = m_now - request.asked;
      request.inAim = took <= m_options.aim;
      m_result.inAim += took <= m_options.aim ? 1 : 0;
      m_result.late += took > m_options.aim ? 1 : 0;
    }
    auto end = TestForward::Following(TestForward::Opening(request.port),
                                      TagOf(aTarget.id, 1), 900);
    end.ends = true;
    Deliver(end);
  });
}

inline auto LoadModel::Failed(std::size_t aRequest, std::uint16_t aPort) -> void
{
  auto& request = m_requests[aRequest];
  if (request.over || request.port != aPort) {
    return;
  }
  if (request.tries > kRetries || m_now - request.asked > m_options.deadline) {
    request.over = true;
    return;
  }
  Try(aRequest);
}

inline auto LoadModel::Tick() -> void
{
  In(Milliseconds(50), [this] { Tick(); });
  for (const auto& balancer : m_balancers) {
    if (!balancer) {
      continue;
    }
    balancer->forwarder.Expire(m_now);
    if (m_options.repeats) {
      balancer->forwarder.RepeatUnanswered(m_now);
    }
  }
}

} // namespace bramleylock::forward
