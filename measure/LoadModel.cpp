// Events in the order of their times; nothing here waits or reads a clock.

#include "measure/LoadModel.h"

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/StateReader.h"
#include "measure/PlainPackets.h"

#include <algorithm>
#include <random>

namespace bramleylock::forward {

static constexpr const char* kServiceName = "orders";

/// Times of planned work, as on the platform's standard days.
static constexpr Milliseconds kRestartEvery{ 1300 };
static constexpr Milliseconds kRestartTakes{ 900 };
static constexpr Milliseconds kReplaceEvery{ 700 };
static constexpr Milliseconds kDrainTakes{ 3500 };

/// Two health checks that time out, and the pause between them.
static constexpr Milliseconds kChecksTake{ 700 };

static auto MakeRoute() -> RouteSet
{
  RouteSet set{ 1, 1, 15000, {}, {} };
  set.routes.push_back({ "orders",
                         kModelService.ip,
                         kModelService.port,
                         { { kServiceName, 1 } },
                         static_cast<std::uint8_t>(RequestKind::Idempotent),
                         1,
                         2000 });
  return set;
}

static auto RecordOf(const std::string& aId, std::uint64_t aRevision,
                     TargetState aState) -> TargetRecord
{
  TargetRecord record;
  record.id = aId;
  record.incarnation = 1;
  record.service = kServiceName;
  record.ip = 0x0a000000U + static_cast<unsigned char>(aId[0]);
  record.port = 80;
  record.failureDomain = "here";
  record.slots = 2;
  record.revision = aRevision;
  record.state = static_cast<std::uint8_t>(aState);
  return record;
}

auto LoadResult::Imbalance() const -> double
{
  std::size_t most = 0;
  std::size_t all = 0;
  for (const auto& [target, answers] : byTarget) {
    most = std::max(most, answers);
    all += answers;
  }
  return static_cast<double>(most * byTarget.size()) / static_cast<double>(all);
}

struct LoadModel::Balancer : PacketSink
{
  Balancer(LoadModel& aModel, const LoadOptions& aOptions, std::uint64_t aSeed)
    : model(aModel)
    , choice(FlowChoiceRegistry::Instance().Create(aOptions.choice))
    , targets(codec)
    , forwarder(codec, routes, targets, *choice, *this, metrics,
                { "here", std::chrono::seconds(60), aSeed })
  {
    routes.Install(MakeRoute(), model.m_now);
    forwarder.SetUnansweredRequestListener([this](DirectoryEntry& aTarget) {
      model.In(kChecksTake,
               [&model = model, id = aTarget.record.id] { model.Checked(id); });
    });
    forwarder.SetBalancers(aOptions.balancers);
  }

  auto SendToTarget(const DirectoryEntry& aTarget, const char* aData,
                    std::size_t aSize) -> void override
  {
    const auto packet = *codec.Decode(aData, aSize);
    model.In(std::chrono::microseconds(500),
             [&model = model, id = aTarget.record.id, packet] {
               model.ToTarget(id, packet);
             });
  }

  auto SendToClient(const Address& aClient, std::string) -> void override
  {
    model.In(kToClient,
             [&model = model, aClient] { model.Failed(aClient.port); });
  }

  auto Flush() -> void override {}

  LoadModel& model;
  PlainCodec codec;
  Metrics metrics;
  std::unique_ptr<FlowChoice> choice;
  RouteTable routes;
  TargetDirectory targets;
  Forwarder forwarder;
};

LoadModel::LoadModel(LoadOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.seed)
{
  for (std::size_t i = 0; i < m_options.targets; ++i) {
    m_targets.push_back({ std::string(1, static_cast<char>('a' + i)) });
  }
  m_userPorts.resize(m_options.users);
  m_balancers.resize(m_options.balancers);
  m_inRotation.resize(m_options.balancers, true);
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    StartBalancer(i);
  }
}

LoadModel::~LoadModel() = default;

auto LoadModel::StateOf(const Target& aTarget) -> TargetState
{
  if (aTarget.gone) {
    return TargetState::Departed;
  }
  return aTarget.draining ? TargetState::Draining : TargetState::Ready;
}

auto LoadModel::StartBalancer(std::size_t aIndex) -> void
{
  auto& balancer = m_balancers[aIndex];
  balancer = std::make_unique<Balancer>(*this, m_options, m_random());
  for (const auto& target : m_targets) {
    balancer->targets.Apply(RecordOf(target.id, m_revision, StateOf(target)),
                            m_now);
  }
}

/// As a balancer does until it has found the others.
auto LoadModel::AssumeBalancers(std::size_t aIndex, Milliseconds aSinceStart)
  -> void
{
  const auto recorded = static_cast<std::uint32_t>(m_options.balancers);
  m_balancers[aIndex]->forwarder.SetBalancers(
    AssumedBalancerCount(recorded, aSinceStart));
  const auto next = aSinceStart + kCountedEvery;
  if (next < kMembersFound) {
    In(kCountedEvery, [this, aIndex, next] { AssumeBalancers(aIndex, next); });
  }
}

auto LoadModel::LosePower() -> void
{
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    m_balancers[i].reset();
    m_inRotation[i] = false;
    const auto spread = std::max<long>(1, m_options.outageSpread.count());
    const auto startsAfter =
      m_options.outage + Milliseconds(m_random() % spread);
    In(startsAfter, [this, i] {
      StartBalancer(i);
      AssumeBalancers(i, Milliseconds(0));
    });
    In(startsAfter + kMembersFound, [this, i] {
      m_balancers[i]->forwarder.SetBalancers(m_options.balancers);
    });
    In(startsAfter + Milliseconds(m_random() % 500),
       [this, i] { m_inRotation[i] = true; });
  }
}

/// Each stops taking packets, as it does when it is ready no more, and starts
/// again without what it knew.
auto LoadModel::RestartInTurn() -> void
{
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    const auto stops = kRestartEvery * static_cast<int>(i);
    In(stops, [this, i] { m_inRotation[i] = false; });
    In(stops + kRestartTakes, [this, i] {
      StartBalancer(i);
      m_inRotation[i] = true;
    });
  }
}

auto LoadModel::EveryBalancer(const std::function<void(Balancer&)>& aDo) -> void
{
  for (const auto& balancer : m_balancers) {
    if (balancer) {
      aDo(*balancer);
    }
  }
}

/// Health checks of a target have ended; each balancer that asked for them
/// knows their outcome.
auto LoadModel::Checked(const std::string& aId) -> void
{
  if (m_targets[static_cast<std::size_t>(aId[0] - 'a')].gone) {
    EveryBalancer([&, this](Balancer& aBalancer) {
      if (auto* entry = aBalancer.targets.Find(aId)) {
        entry->stats.unansweredChecks = 2;
        entry->stats.lastCheckAt = m_now;
      }
    });
  }
}

auto LoadModel::ReplaceTargets(std::size_t aLeft) -> void
{
  if (aLeft == 0) {
    return;
  }
  ++m_revision;
  auto& old = m_targets[m_options.replacedTargets - aLeft];
  old.draining = true;
  m_targets.push_back(
    { std::string(1, static_cast<char>('a' + m_targets.size())) });
  EveryBalancer([&, this](Balancer& aBalancer) {
    for (const auto& target : { m_targets.back(), old }) {
      aBalancer.targets.Apply(RecordOf(target.id, m_revision, StateOf(target)),
                              m_now);
    }
  });
  In(kDrainTakes, [this, &old] {
    old.gone = true;
    ++m_revision;
    EveryBalancer([&, this](Balancer& aBalancer) {
      aBalancer.targets.Remove(old.id, m_revision, Milliseconds(0), m_now);
    });
  });
  In(kReplaceEvery, [this, aLeft] { ReplaceTargets(aLeft - 1); });
}

/// The platform hashes over the balancers in rotation, or over all of them
/// while fewer than half are.
auto LoadModel::Receiver(const FlowId& aFlow) -> Balancer*
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

auto LoadModel::Run() -> LoadResult
{
  In({}, [this] { Ask(); });
  for (std::size_t user = 0; user < m_options.users; ++user) {
    const auto within = static_cast<std::uint64_t>(
      std::max<long>(1, m_options.usersBegin.count()));
    In(Milliseconds(m_random() % within), [this, user] { AskAgain(user); });
  }
  In({}, [this] { Tick(); });
  In(Milliseconds(4000), [this] {
    for (std::size_t i = 0; i < m_options.silentTargets; ++i) {
      m_targets[i].silent = true;
    }
  });
  if (m_options.outage.count() > 0) {
    In(Milliseconds(3000), [this] { LosePower(); });
  }
  if (m_options.rollingRestart) {
    In(Milliseconds(3000), [this] { RestartInTurn(); });
  }
  In(Milliseconds(3000), [this] { ReplaceTargets(m_options.replacedTargets); });
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

/// A packet of a client on its way to the balancer of its flow.
auto LoadModel::Deliver(Packet aPacket) -> void
{
  In(kToClient, [this, aPacket] {
    auto* balancer = Receiver(aPacket.flow);
    if (balancer == nullptr) {
      return;
    }
    auto data = PlainCodec::Bytes(aPacket);
    balancer->forwarder.OnDatagram(data.data(), data.size(), m_now);
    if (m_options.repeats) {
      balancer->forwarder.ResendUnanswered(m_now);
    }
  });
}

auto LoadModel::ToTarget(const std::string& aId, const Packet& aPacket) -> void
{
  auto& target = m_targets[static_cast<std::size_t>(aId[0] - 'a')];
  if (target.silent || target.gone) {
    return;
  }
  const auto port = aPacket.flow.client.port;
  auto& flow = m_flows[port];
  if (aPacket.opens) {
    In(kToClient, [=, this] { Opened(port, aPacket.tag); });
  } else if (aPacket.carriesData && aPacket.sequence > flow.received) {
    flow.received = aPacket.sequence;
    Work(target, port);
  }
}

auto LoadModel::Work(Target& aTarget, std::uint16_t aPort) -> void
{
  if (aTarget.working < kSlots) {
    ++aTarget.working;
    std::gamma_distribution<double> work(4, m_options.meanWorkMs / 4);
    In(std::chrono::nanoseconds(static_cast<long>(work(m_random) * 1e6)),
       [this, &aTarget, aPort] { Finished(aTarget, aPort); });
  } else if (aTarget.queue.size() < kQueue) {
    aTarget.queue.push_back(aPort);
  } else {
    ++m_result.shed;
    In(kToClient, [=, this] { Failed(aPort); });
  }
}

auto LoadModel::Finished(Target& aTarget, std::uint16_t aPort) -> void
{
  --aTarget.working;
  if (!aTarget.queue.empty()) {
    const auto next = aTarget.queue.front();
    aTarget.queue.pop_front();
    Work(aTarget, next);
  }
  if (!aTarget.silent) {
    In(kToClient, [this, id = aTarget.id, aPort, closes = aTarget.draining] {
      Answered(aPort, id, closes);
    });
  }
}

auto LoadModel::Tick() -> void
{
  In(Milliseconds(50), [this] { Tick(); });
  EveryBalancer([this](Balancer& aBalancer) {
    aBalancer.forwarder.Expire(m_now);
    if (m_options.repeats) {
      aBalancer.forwarder.ResendUnanswered(m_now);
    }
  });
}

} // namespace bramleylock::forward
