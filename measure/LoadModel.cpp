// Events in the order of their times; nothing here waits or reads a clock.

#include "measure/LoadModel.h"

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/StateReader.h"
#include "measure/PlainPackets.h"

#include <random>

namespace bramleylock::forward {

static constexpr Address kService{ 0xc6120001, 443 };
static constexpr const char* kServiceName = "orders";

static auto MakeRoute() -> RouteSet
{
  RouteSet set{ 1, 1, 15000, {}, {} };
  set.routes.push_back({ "orders",
                         kService.ip,
                         kService.port,
                         { { kServiceName, 1 } },
                         1,
                         1,
                         2000 });
  return set;
}

static auto RecordOf(const std::string& aId) -> TargetRecord
{
  TargetRecord record;
  record.id = aId;
  record.incarnation = 1;
  record.service = kServiceName;
  record.ip = 0x0a000000U + static_cast<unsigned char>(aId[0]);
  record.port = 80;
  record.failureDomain = "here";
  record.slots = 2;
  record.revision = 5;
  return record;
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
  m_balancers.resize(m_options.balancers);
  m_inRotation.resize(m_options.balancers, true);
  for (std::size_t i = 0; i < m_options.balancers; ++i) {
    StartBalancer(i);
  }
}

LoadModel::~LoadModel() = default;

auto LoadModel::StartBalancer(std::size_t aIndex) -> void
{
  auto& balancer = m_balancers[aIndex];
  balancer = std::make_unique<Balancer>(*this, m_options, m_random());
  for (const auto& target : m_targets) {
    balancer->targets.Apply(RecordOf(target.id), m_now);
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
      m_balancers[i]->forwarder.SetBalancers(
        AssumedBalancers(static_cast<std::uint32_t>(m_options.balancers)));
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

auto LoadModel::Ask() -> void
{
  std::exponential_distribution<double> pause(m_options.requestsPerSecond);
  if (m_now < m_start + m_options.length) {
    In(std::chrono::nanoseconds(static_cast<long>(pause(m_random) * 1e9)),
       [this] { Ask(); });
    m_requests.push_back({ m_now });
    Try(m_requests.size() - 1);
  }
}

auto LoadModel::Try(std::size_t aRequest) -> void
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

auto LoadModel::SendOpening(std::size_t aRequest, std::uint16_t aPort,
                            int aCopy) -> void
{
  const auto& request = m_requests[aRequest];
  if (request.over || request.answered || request.port != aPort) {
    return;
  }
  auto opening = MakeOpening(aPort, kService);
  opening.acknowledgement = static_cast<std::uint32_t>(aCopy);
  Deliver(opening);
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
      balancer->forwarder.RepeatUnanswered(m_now);
    }
  });
}

auto LoadModel::ToTarget(const std::string& aId, const Packet& aPacket) -> void
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

auto LoadModel::Answered(std::size_t aRequest, std::uint16_t aPort,
                         TargetTag aTag) -> void
{
  auto& request = m_requests[aRequest];
  if (request.over || request.answered || request.port != aPort) {
    return;
  }
  request.answered = true;
  auto asking = MakeFollowing(MakeOpening(aPort, kService), aTag);
  asking.carriesData = true;
  Deliver(asking);
}

auto LoadModel::Work(Target& aTarget, std::size_t aRequest) -> void
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

auto LoadModel::Finished(Target& aTarget, std::size_t aRequest) -> void
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
    auto end = MakeFollowing(MakeOpening(request.port, kService),
                             TagOf(aTarget.id, 1), 900);
    end.ends = true;
    Deliver(end);
  });
}

auto LoadModel::Failed(std::size_t aRequest, std::uint16_t aPort) -> void
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

auto LoadModel::Tick() -> void
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
