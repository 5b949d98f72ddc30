// Discrete-event simulation: runs events in the order of their times, without
// waiting or reading a clock.

#include "measure/LoadModel.h"

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/StateReader.h"
#include "measure/PlainPackets.h"

#include <algorithm>
#include <random>

namespace bramleylock::forward {

static constexpr const char* kServiceName = "orders";

/// Timing of planned restarts and replacements, as in the platform's standard
/// day profiles.
static constexpr Milliseconds kRestartInterval{ 1300 };
static constexpr Milliseconds kRestartDuration{ 900 };
static constexpr Milliseconds kReplaceInterval{ 700 };
static constexpr Milliseconds kDrainDuration{ 3500 };

/// Duration of two health checks that time out and the pause between them.
static constexpr Milliseconds kHealthChecksDuration{ 700 };

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

static auto MakeTargetRecord(const std::string& aId, std::uint32_t aSlots,
                             std::uint64_t aRevision, TargetState aState)
  -> TargetRecord
{
  TargetRecord record;
  record.id = aId;
  record.incarnation = 1;
  record.service = kServiceName;
  record.ip = 0x0a000000U + static_cast<unsigned char>(aId[0]);
  record.port = 80;
  record.failureDomain = "here";
  record.slots = aSlots;
  record.revision = aRevision;
  record.state = static_cast<std::uint8_t>(aState);
  return record;
}

struct LoadModel::Balancer : PacketSink
{
  Balancer(LoadModel& aModel, const LoadOptions& aOptions, std::uint64_t aSeed)
    : model(aModel)
    , choice(FlowChoiceRegistry::Instance().Create(aOptions.choice))
    , targets(codec)
    , forwarder(
        codec, routes, targets, *choice, *this, metrics,
        { "here", std::chrono::seconds(60), aSeed, {}, aOptions.hedgePercent })
  {
    routes.Install(MakeRoute(), model.m_now);
    forwarder.SetUnansweredRequestListener([this](DirectoryEntry& aTarget) {
      model.ScheduleAfter(kHealthChecksDuration,
                          [&model = model, id = aTarget.record.id] {
                            model.OnHealthChecked(id);
                          });
    });
    forwarder.SetSilentTargetListener(
      [this](DirectoryEntry& aTarget) { model.OnFoundSilent(aTarget); });
    forwarder.SetBalancers(aOptions.balancers);
  }

  auto SendToTarget(const DirectoryEntry& aTarget, const char* aData,
                    std::size_t aSize) -> void override
  {
    const auto packet = *codec.Decode(aData, aSize);
    model.m_result.firstPackets += packet.opens ? 1 : 0;
    model.ScheduleAfter(std::chrono::microseconds(500),
                        [&model = model, id = aTarget.record.id, packet] {
                          model.DeliverToTarget(id, packet);
                        });
  }

  auto SendToClient(const Address& aClient, std::string) -> void override
  {
    model.ScheduleAfter(
      model.ClientDelay(aClient.port),
      [&model = model, aClient] { model.OnAttemptFailed(aClient.port); });
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
  for (std::size_t i = 0; i < m_options.lateTargets; ++i) {
    m_targets[i].openingDelay = m_options.lateOpeningDelay;
  }
  m_userPorts.resize(m_options.users);
  m_balancers.resize(m_options.balancers);
  m_inRotation.resize(m_options.balancers, true);
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    StartBalancer(i);
  }
}

LoadModel::~LoadModel() = default;

/// Returns the client that uses aPort. A user is always the same client.
auto LoadModel::ClientOf(std::uint16_t aPort) const -> std::size_t
{
  const auto index = m_flows[aPort].request;
  const auto user = m_requests[index].user;
  return (user == kNoUser ? index : user) % kClients;
}

auto LoadModel::ClientDelay(std::uint16_t aPort) const
  -> std::chrono::nanoseconds
{
  const std::chrono::nanoseconds spread =
    m_options.maxClientDelay - m_options.minClientDelay;
  return m_options.minClientDelay +
         spread * static_cast<long>(ClientOf(aPort)) / (kClients - 1);
}

auto LoadModel::OpeningOf(std::uint16_t aPort) const -> Packet
{
  auto opening = MakeOpening(aPort, kModelService);
  opening.flow.client.ip += static_cast<std::uint32_t>(ClientOf(aPort));
  return opening;
}

auto LoadModel::IsBetween(Milliseconds aFrom, Milliseconds aTo) const -> bool
{
  return m_now >= m_start + aFrom && m_now < m_start + aTo;
}

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
    balancer->targets.Apply(
      MakeTargetRecord(target.id, m_options.slots, m_revision, StateOf(target)),
      m_now);
  }
}

/// Sets the number of balancers that a starting balancer assumes until it has
/// discovered the others.
auto LoadModel::SetAssumedBalancers(std::size_t aIndex,
                                    Milliseconds aSinceStart) -> void
{
  const auto recorded = static_cast<std::uint32_t>(m_options.balancers);
  m_balancers[aIndex]->forwarder.SetBalancers(
    AssumedBalancerCount(recorded, aSinceStart));
  const auto next = aSinceStart + kMemberCountInterval;
  if (next < kMembershipDelay) {
    ScheduleAfter(kMemberCountInterval,
                  [this, aIndex, next] { SetAssumedBalancers(aIndex, next); });
  }
}

auto LoadModel::StartOutage() -> void
{
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    m_balancers[i].reset();
    m_inRotation[i] = false;
    const auto spread = std::max<long>(1, m_options.restartSpread.count());
    const auto startDelay =
      m_options.outage + Milliseconds(m_random() % spread);
    ScheduleAfter(startDelay, [this, i] {
      StartBalancer(i);
      SetAssumedBalancers(i, Milliseconds(0));
    });
    ScheduleAfter(startDelay + kMembershipDelay, [this, i] {
      m_balancers[i]->forwarder.SetBalancers(m_options.balancers);
    });
    ScheduleAfter(startDelay + Milliseconds(m_random() % 500),
                  [this, i] { m_inRotation[i] = true; });
  }
}

/// Restarts the balancers one after another. Each leaves the rotation, as a
/// balancer does that is no longer ready, and starts again without its state.
auto LoadModel::RestartSequentially() -> void
{
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    const auto stopDelay = kRestartInterval * static_cast<int>(i);
    ScheduleAfter(stopDelay, [this, i] { m_inRotation[i] = false; });
    ScheduleAfter(stopDelay + kRestartDuration, [this, i] {
      StartBalancer(i);
      m_inRotation[i] = true;
    });
  }
}

auto LoadModel::ForEachBalancer(const std::function<void(Balancer&)>& aAction)
  -> void
{
  for (const auto& balancer : m_balancers) {
    if (balancer) {
      aAction(*balancer);
    }
  }
}

/// Completes the health checks of a target: when it is gone, every balancer
/// records two unanswered checks.
auto LoadModel::OnHealthChecked(const std::string& aId) -> void
{
  if (m_targets[static_cast<std::size_t>(aId[0] - 'a')].gone) {
    ForEachBalancer([&, this](Balancer& aBalancer) {
      if (auto* entry = aBalancer.targets.Find(aId)) {
        entry->stats.unansweredChecks = 2;
        entry->stats.unreachableChecks = 2;
        entry->stats.unreachableSince = m_now;
        entry->stats.lastCheckSentAt = m_now;
        entry->stats.lastCheckAt = m_now;
      }
    });
  }
}

auto LoadModel::ReplaceTargets(std::size_t aRemaining) -> void
{
  if (aRemaining == 0) {
    return;
  }
  ++m_revision;
  auto& old = m_targets[m_options.replacedTargets - aRemaining];
  old.draining = true;
  m_targets.push_back(
    { std::string(1, static_cast<char>('a' + m_targets.size())) });
  ForEachBalancer([&, this](Balancer& aBalancer) {
    for (const auto& target : { m_targets.back(), old }) {
      aBalancer.targets.Apply(MakeTargetRecord(target.id, m_options.slots,
                                               m_revision, StateOf(target)),
                              m_now);
    }
  });
  ScheduleAfter(kDrainDuration, [this, &old] {
    old.gone = true;
    ++m_revision;
    ForEachBalancer([&, this](Balancer& aBalancer) {
      aBalancer.targets.Remove(old.id, m_revision, Milliseconds(0), m_now);
    });
  });
  ScheduleAfter(kReplaceInterval,
                [this, aRemaining] { ReplaceTargets(aRemaining - 1); });
}

/// Returns the balancer that receives the packets of a flow. The platform
/// hashes over the balancers in rotation, or over all of them while fewer than
/// half are in rotation.
auto LoadModel::SelectBalancer(const FlowId& aFlow) const -> std::size_t
{
  std::vector<std::size_t> inRotation;
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    if (m_inRotation[i]) {
      inRotation.push_back(i);
    }
  }
  const auto hash = FlowIdHash{}(aFlow);
  return 2 * inRotation.size() < m_options.balancers
           ? hash % m_balancers.size()
           : inRotation[hash % inRotation.size()];
}

/// Processes the packets that waited for balancers that did not run.
auto LoadModel::Thaw() -> void
{
  m_frozen = 0;
  for (; !m_packetsOfFrozen.empty(); m_packetsOfFrozen.pop_front()) {
    const auto& packet = m_packetsOfFrozen.front();
    if (auto* balancer = m_balancers[SelectBalancer(packet.flow)].get()) {
      ProcessPacket(*balancer, packet);
    }
  }
}

auto LoadModel::ScheduleFaults() -> void
{
  ScheduleAfter(Milliseconds(4000), [this] {
    for (std::size_t i = 0; i < m_options.silentTargets; ++i) {
      m_targets[i].silent = true;
    }
    for (std::size_t i = 0; i < m_options.slowTargets; ++i) {
      m_targets[i].slow = true;
    }
    m_frozen = m_options.frozenBalancers;
  });
  ScheduleAfter(Milliseconds(6000), [this] {
    for (auto& target : m_targets) {
      target.silent = false;
    }
  });
  ScheduleAfter(Milliseconds(7000), [this] { Thaw(); });
  ScheduleAfter(Milliseconds(8000), [this] {
    for (auto& target : m_targets) {
      target.slow = false;
    }
  });
  if (m_options.outage.count() > 0) {
    ScheduleAfter(Milliseconds(3000), [this] { StartOutage(); });
  }
  if (m_options.rollingRestart) {
    ScheduleAfter(Milliseconds(3000), [this] { RestartSequentially(); });
  }
  ScheduleAfter(Milliseconds(3000),
                [this] { ReplaceTargets(m_options.replacedTargets); });
}

auto LoadModel::Run() -> LoadResult
{
  ScheduleAfter({}, [this] { SendNextRequest(); });
  for (std::size_t user = 0; user < m_options.users; ++user) {
    const auto beginSpread = static_cast<std::uint64_t>(
      std::max<long>(1, m_options.usersStartPeriod.count()));
    ScheduleAfter(Milliseconds(m_random() % beginSpread),
                  [this, user] { SendNextUserRequest(user); });
  }
  ScheduleAfter({}, [this] { Tick(); });
  ScheduleFaults();
  const auto end = m_start + m_options.length + m_options.deadline;
  while (!m_events.empty() && m_events.top().at < end) {
    const auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }
  CollectCounters();
  m_result.requests = m_requests.size();
  m_result.failed = m_result.requests - m_result.onTime - m_result.late;
  for (const auto& request : m_requests) {
    m_result.outcomes.emplace_back(
      std::chrono::duration_cast<Milliseconds>(request.sentAt - m_start),
      request.onTime);
  }
  return m_result;
}

auto LoadModel::CollectCounters() -> void
{
  ForEachBalancer([this](const Balancer& aBalancer) {
    m_result.flowsOpened += aBalancer.metrics.Get(Counter::FlowsOpened);
    m_result.flowsHedged += aBalancer.metrics.Get(Counter::FlowsHedged);
  });
}

/// Delivers a client's packet to the balancer that receives its flow.
auto LoadModel::SendToBalancer(Packet aPacket) -> void
{
  if (m_options.lossShare > 0 &&
      std::bernoulli_distribution(m_options.lossShare)(m_random)) {
    return;
  }
  ScheduleAfter(ClientDelay(aPacket.flow.client.port), [this, aPacket] {
    const auto index = SelectBalancer(aPacket.flow);
    if (index < m_frozen) {
      m_packetsOfFrozen.push_back(aPacket);
    } else if (m_balancers[index]) {
      ProcessPacket(*m_balancers[index], aPacket);
    }
  });
}

auto LoadModel::ProcessPacket(Balancer& aBalancer, const Packet& aPacket)
  -> void
{
  auto data = PlainCodec::Bytes(aPacket);
  aBalancer.forwarder.OnDatagram(data.data(), data.size(), {}, m_now);
  if (m_options.resendsUnanswered) {
    aBalancer.forwarder.ResendUnanswered(m_now);
  }
}

auto LoadModel::DeliverToTarget(const std::string& aId, const Packet& aPacket)
  -> void
{
  auto& target = m_targets[static_cast<std::size_t>(aId[0] - 'a')];
  if (target.silent || target.gone) {
    return;
  }
  const auto port = aPacket.flow.client.port;
  auto& flow = m_flows[port];
  if (aPacket.opens) {
    ScheduleAfter(ClientDelay(port) + target.openingDelay,
                  [=, this] { OnOpened(port, aPacket.tag); });
  } else if (aPacket.carriesData && aPacket.sequence > flow.received) {
    flow.received = aPacket.sequence;
    flow.targetTag = aPacket.tag;
    Execute(target, port);
  }
}

auto LoadModel::WorkTime(const Target& aTarget) -> std::chrono::nanoseconds
{
  std::gamma_distribution<double> work(4, m_options.meanWorkMs / 4);
  auto workMs = work(m_random) * (aTarget.slow ? m_options.slowFactor : 1);
  if (m_options.longRequestShare > 0 &&
      std::bernoulli_distribution(m_options.longRequestShare)(m_random)) {
    workMs *= m_options.longRequestFactor;
  }
  return std::chrono::nanoseconds(static_cast<long>(workMs * 1e6));
}

/// Counts wrong verdicts. The health check that follows a verdict finds a
/// responding target at once.
auto LoadModel::OnFoundSilent(const DirectoryEntry& aTarget) -> void
{
  const auto& id = aTarget.record.id;
  const auto& target = m_targets[static_cast<std::size_t>(id[0] - 'a')];
  if (target.silent || target.gone) {
    return;
  }
  ++m_result.falseSilences;
  ScheduleAfter(Milliseconds(5), [this, id] {
    ForEachBalancer([&id](Balancer& aBalancer) {
      if (auto* entry = aBalancer.targets.Find(id)) {
        entry->stats.silentSince = {};
      }
    });
  });
}

auto LoadModel::Execute(Target& aTarget, std::uint16_t aPort) -> void
{
  if (aTarget.executing < m_options.slots) {
    ++aTarget.executing;
    ScheduleAfter(WorkTime(aTarget),
                  [this, &aTarget, aPort] { OnExecuted(aTarget, aPort); });
  } else if (aTarget.queue.size() < m_options.queueCapacity) {
    aTarget.queue.push_back(aPort);
  } else {
    ++m_result.shed;
    ScheduleAfter(ClientDelay(aPort), [=, this] { OnAttemptFailed(aPort); });
  }
}

auto LoadModel::OnExecuted(Target& aTarget, std::uint16_t aPort) -> void
{
  --aTarget.executing;
  if (!aTarget.queue.empty()) {
    const auto next = aTarget.queue.front();
    aTarget.queue.pop_front();
    Execute(aTarget, next);
  }
  if (!aTarget.silent) {
    ScheduleAfter(ClientDelay(aPort),
                  [this, id = aTarget.id, aPort, closes = aTarget.draining] {
                    OnAnswered(aPort, id, closes);
                  });
  }
}

auto LoadModel::Tick() -> void
{
  ScheduleAfter(Milliseconds(50), [this] { Tick(); });
  ForEachBalancer([this](Balancer& aBalancer) {
    aBalancer.forwarder.Expire(m_now);
    if (m_options.resendsUnanswered) {
      aBalancer.forwarder.ResendUnanswered(m_now);
    }
  });
}

} // namespace bramleylock::forward
