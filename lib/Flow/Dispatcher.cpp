// Packet routing.
//
// A packet with a token goes to the owner that the token names. Without one, a
// request opens a flow here; an at-most-once request is then not run but
// answered with a token, because two copies of a first packet may open two
// owners and only a token names one.

#include "bramleylock/Flow/Dispatcher.h"

#include "bramleylock/Flow/RequestRunner.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;
using wire::PacketType;
using wire::Reason;

static constexpr Milliseconds kExpireEvery{ 1000 };
static constexpr std::uint32_t kNotReadyRetryAfterMs = 500;
static constexpr std::uint32_t kDrainingRetryAfterMs = 100;

/// A packet on its way through the dispatcher.
struct Dispatcher::Arrival
{
  const char* data = nullptr;
  std::size_t size = 0;
  Udp::endpoint caller;
  /// Whether a peer passed it on; such a packet is not passed on again.
  bool forwarded = false;
  wire::Packet packet;
  wire::FlowToken token;
  std::string plan;
  lists::Work work;
};

Dispatcher::Dispatcher(Environment& aEnvironment,
                       std::chrono::seconds aIdleFlow)
  : m_environment(aEnvironment)
  , m_idleFlow(aIdleFlow)
{
}

auto Dispatcher::Start() -> void
{
  m_environment.hub.On(
    wire::MessageType::Forwarded,
    [this](const wire::Hello&, const std::string& aBody) {
      const auto forwarded = wire::UnpackBody<wire::Forwarded>(aBody);
      if (!forwarded) {
        m_environment.metrics.Add(Counter::PeerFrameMalformed);
        return;
      }
      OnForwarded(*forwarded);
    });
  Spawn(m_environment.context, "expire-flows", ExpireLoop());
}

auto Dispatcher::Drain() -> void
{
  m_draining = true;
}

auto Dispatcher::Draining() const -> bool
{
  return m_draining;
}

auto Dispatcher::Flows() const -> const FlowTable&
{
  return m_flows;
}

auto Dispatcher::ExpireLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kExpireEvery);
    const auto forgotten = m_flows.Expire(m_idleFlow);
    m_environment.metrics.Add(Counter::FlowsClosed, forgotten);
  }
}

auto Dispatcher::OnDatagram(const char* aData, std::size_t aSize,
                            const Udp::endpoint& aCaller) -> void
{
  m_environment.metrics.Add(Counter::PacketsReceived);
  Arrival arrival;
  arrival.data = aData;
  arrival.size = aSize;
  arrival.caller = aCaller;
  Handle(arrival);
}

auto Dispatcher::OnForwarded(const wire::Forwarded& aForwarded) -> void
{
  Arrival arrival;
  std::error_code error;
  arrival.data = aForwarded.datagram.data();
  arrival.size = aForwarded.datagram.size();
  arrival.caller = ParseUdpEndpoint(aForwarded.caller, error);
  arrival.forwarded = true;
  if (error) {
    m_environment.metrics.Add(Counter::PeerFrameMalformed);
    return;
  }
  Handle(arrival);
}

static auto CounterFor(std::error_code aError) -> Counter
{
  if (aError == wire::PacketError::Oversized) {
    return Counter::PacketOversized;
  }
  return aError == wire::PacketError::Version ? Counter::PacketVersion
                                              : Counter::PacketMalformed;
}

auto Dispatcher::Handle(Arrival& aArrival) -> void
{
  std::error_code error;
  aArrival.packet = wire::Decode(aArrival.data, aArrival.size, error);
  if (error) {
    m_environment.metrics.Add(CounterFor(error));
    return;
  }
  switch (aArrival.packet.type) {
    case PacketType::Request:
      HandleRequest(aArrival);
      return;
    case PacketType::Acknowledge:
    case PacketType::Cancel:
    case PacketType::Close:
      HandleRouted(aArrival);
      return;
    default:
      // Only balancers send the other types.
      m_environment.metrics.Add(Counter::PacketStray);
      return;
  }
}

auto Dispatcher::Authorize(Arrival& aArrival) -> Reason
{
  const auto lists = m_environment.lists.Current();
  if (!lists || m_environment.keys.Empty()) {
    return Reason::NotReady;
  }
  const auto& packet = aArrival.packet;
  const auto dot = packet.credential.find('.');
  if (dot == std::string::npos) {
    return Reason::Credential;
  }
  aArrival.plan = packet.credential.substr(0, dot);
  const auto plan = lists->plans.find(aArrival.plan);
  if (plan == lists->plans.end() ||
      !EqualSecrets(HashHex(packet.credential.substr(dot + 1)),
                    plan->second.secretHash)) {
    return Reason::Credential;
  }
  const auto service = lists->services.find(packet.service);
  if (service == lists->services.end()) {
    return Reason::Service;
  }
  const auto& allowed = service->second.plans;
  if (std::find(allowed.begin(), allowed.end(), aArrival.plan) ==
      allowed.end()) {
    return Reason::NotAllowed;
  }
  const auto work = service->second.works.find(packet.work);
  if (work == service->second.works.end()) {
    return Reason::Work;
  }
  aArrival.work = work->second;
  if (packet.payload.size() > wire::kRequestBytes) {
    return Reason::TooLarge;
  }
  return Reason::None;
}

/// Refuses what the lists do not allow; true when the packet may go on.
auto Dispatcher::CheckAuthorized(Arrival& aArrival) -> bool
{
  const auto refusal = Authorize(aArrival);
  if (refusal == Reason::None) {
    return true;
  }
  const auto retry = refusal == Reason::NotReady ? kNotReadyRetryAfterMs : 0;
  CountReason(m_environment.metrics, refusal);
  Refuse(aArrival, refusal, retry);
  return false;
}

auto Dispatcher::HandleRequest(Arrival& aArrival) -> void
{
  // A packet with a token goes to its owner first: only the owner can say
  // whether the request was run, whatever this balancer's lists allow.
  if (!aArrival.packet.token.empty()) {
    HandleRouted(aArrival);
    return;
  }
  if (!CheckAuthorized(aArrival)) {
    return;
  }
  if (m_draining) {
    if (aArrival.forwarded || !PassToPeer(aArrival)) {
      CountReason(m_environment.metrics, Reason::Draining);
      Refuse(aArrival, Reason::Draining, kDrainingRetryAfterMs);
    }
    return;
  }
  OpenFlow(aArrival);
}

auto Dispatcher::OpenFlow(Arrival& aArrival) -> void
{
  auto flow = m_flows.Find(aArrival.packet.flow);
  if (flow && RepeatKnown(aArrival, flow)) {
    return;
  }
  if (RefusedAtDoor(aArrival, nullptr)) {
    return;
  }
  if (!flow) {
    flow = NewFlow(aArrival);
  }
  if (aArrival.work.execution == Execution::AtMostOnce) {
    m_environment.metrics.Add(Counter::RefusedOpenFirst);
    SendWithToken(aArrival, PacketType::Opened, *flow);
    return;
  }
  StartRequest(aArrival, flow);
}

/// Answers a request that the admission policy would refuse now, before
/// anything is kept for it; true when it did.
auto Dispatcher::RefusedAtDoor(const Arrival& aArrival,
                               const std::shared_ptr<Flow>& aOwned) -> bool
{
  const auto request =
    MakeAdmissionRequest(m_environment, aArrival.plan, aArrival.packet.service,
                         aArrival.packet, aArrival.work);
  const auto refusal = m_environment.admission.AtDoor(request);
  if (refusal.reason == Reason::None) {
    return false;
  }
  CountReason(m_environment.metrics, refusal.reason);
  const bool once = aArrival.work.execution == Execution::AtMostOnce;
  wire::Packet packet;
  packet.type = once ? PacketType::NotRun : PacketType::Refused;
  packet.flow = aArrival.packet.flow;
  packet.sequence = aArrival.packet.sequence;
  packet.token = aArrival.packet.token;
  packet.code = static_cast<std::uint32_t>(refusal.reason);
  packet.retryAfterMs = refusal.retryAfterMs;
  SendPacket(m_environment, aArrival.caller, packet);
  if (aOwned && once) {
    // A late copy must not be run after this.
    auto& outcome = aOwned->outcomes[packet.sequence];
    outcome.datagrams = { wire::Encode(packet) };
    outcome.keepUntil = request.deadline + kOutcomeMargin;
  }
  return true;
}

auto Dispatcher::NewFlow(const Arrival& aArrival) -> std::shared_ptr<Flow>
{
  const auto& self = m_environment.members.Self();
  auto flow = std::make_shared<Flow>();
  flow->id = aArrival.packet.flow;
  flow->plan = aArrival.plan;
  flow->service = aArrival.packet.service;
  flow->lastUsed = Clock::now();
  wire::FlowToken token;
  token.service = flow->service;
  token.failureDomain = self.failureDomain;
  token.owner = self.address;
  token.ownerIncarnation = self.incarnation;
  token.listsRevision = m_environment.lists.Revision();
  flow->token = m_environment.keys.Sign(token, flow->id);
  m_flows.Add(flow);
  m_environment.metrics.Add(Counter::FlowsOpened);
  return flow;
}

auto Dispatcher::HandleRouted(Arrival& aArrival) -> void
{
  std::error_code error;
  const auto& packet = aArrival.packet;
  aArrival.token = m_environment.keys.Verify(packet.token, packet.flow, error);
  if (error) {
    const auto reason = error == wire::TokenError::KeyUnknown
                          ? Reason::KeyUnknown
                          : Reason::Forged;
    CountReason(m_environment.metrics, reason);
    // The flow may have run the request at its owner, so this is no proof
    // that it was not run.
    Reply(aArrival, PacketType::Unknown, reason);
    return;
  }
  if (packet.type == PacketType::Request &&
      aArrival.token.service != packet.service) {
    CountReason(m_environment.metrics, Reason::ForeignService);
    Reply(aArrival, PacketType::Unknown, Reason::ForeignService);
    return;
  }
  const auto& self = m_environment.members.Self();
  if (aArrival.token.owner == self.address &&
      aArrival.token.ownerIncarnation == self.incarnation) {
    HandleOwned(aArrival);
    return;
  }
  const bool replaced = aArrival.token.owner == self.address;
  if (replaced || !m_environment.members.IsAlive(
                    aArrival.token.owner, aArrival.token.ownerIncarnation)) {
    HandleOwnerLost(aArrival);
    return;
  }
  Forward(aArrival, aArrival.token.owner);
}

auto Dispatcher::HandleOwnerLost(Arrival& aArrival) -> void
{
  if (aArrival.packet.type != PacketType::Request) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  const auto refusal = Authorize(aArrival);
  if (refusal != Reason::None ||
      aArrival.work.execution == Execution::AtMostOnce) {
    CountReason(m_environment.metrics, Reason::OwnerLost);
    Reply(aArrival, PacketType::Unknown, Reason::OwnerLost);
    return;
  }
  // Repeatable work continues here, from the part that the caller asks for.
  OpenFlow(aArrival);
}

auto Dispatcher::HandleOwned(Arrival& aArrival) -> void
{
  const auto& packet = aArrival.packet;
  auto flow = m_flows.Find(packet.flow);
  if (packet.type == PacketType::Request) {
    if (flow && RepeatKnown(aArrival, flow)) {
      return;
    }
    if (!CheckAuthorized(aArrival)) {
      return;
    }
    if (!flow && aArrival.work.execution == Execution::AtMostOnce) {
      CountReason(m_environment.metrics, Reason::FlowForgotten);
      Reply(aArrival, PacketType::Unknown, Reason::FlowForgotten);
      return;
    }
    if (!RefusedAtDoor(aArrival, flow)) {
      StartRequest(aArrival, flow ? flow : NewFlow(aArrival));
    }
    return;
  }
  if (!flow) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  if (packet.type == PacketType::Close) {
    if (flow->active.empty() && flow->outcomes.empty()) {
      m_flows.Remove(flow->id);
      m_environment.metrics.Add(Counter::FlowsClosed);
    }
    return;
  }
  const auto active = flow->active.find(packet.sequence);
  if (active == flow->active.end()) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  auto& exchange = *active->second;
  if (packet.type == PacketType::Acknowledge) {
    exchange.caller = aArrival.caller;
    if (exchange.answer) {
      exchange.answer->Acknowledge(packet, aArrival.caller);
    }
    return;
  }
  m_environment.metrics.Add(Counter::RequestsCancelled);
  exchange.cancelled = true;
  if (exchange.connection) {
    exchange.connection->Close();
  }
  if (exchange.answer) {
    exchange.answer->Abort();
  }
}

auto Dispatcher::RepeatKnown(Arrival& aArrival,
                             const std::shared_ptr<Flow>& aFlow) -> bool
{
  const auto sequence = aArrival.packet.sequence;
  const auto active = aFlow->active.find(sequence);
  if (active != aFlow->active.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    active->second->caller = aArrival.caller;
    SendWithToken(aArrival, PacketType::Accepted, *aFlow);
    return true;
  }
  const auto outcome = aFlow->outcomes.find(sequence);
  if (outcome != aFlow->outcomes.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    for (const auto& datagram : outcome->second.datagrams) {
      m_environment.send(aArrival.caller, datagram);
    }
    return true;
  }
  return false;
}

auto Dispatcher::StartRequest(Arrival& aArrival,
                              const std::shared_ptr<Flow>& aFlow) -> void
{
  if (aFlow->plan != aArrival.plan ||
      aFlow->service != aArrival.packet.service) {
    CountReason(m_environment.metrics, Reason::ForeignService);
    Reply(aArrival, PacketType::Unknown, Reason::ForeignService);
    return;
  }
  aFlow->lastUsed = Clock::now();
  const bool once = aArrival.work.execution == Execution::AtMostOnce;
  if (once && aArrival.packet.sequence <= aFlow->floor) {
    CountReason(m_environment.metrics, Reason::FlowForgotten);
    Reply(aArrival, PacketType::Unknown, Reason::FlowForgotten);
    return;
  }
  if (aArrival.work.size == lists::SizeClass::Long) {
    // The caller learns the owner before its first resend, so that one long
    // answer is not started twice.
    SendWithToken(aArrival, PacketType::Accepted, *aFlow);
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->request = std::move(aArrival.packet);
  exchange->plan = aArrival.plan;
  exchange->work = aArrival.work;
  exchange->caller = aArrival.caller;
  exchange->deadline = DeadlineOf(exchange->request, aArrival.work);
  aFlow->active.emplace(exchange->request.sequence, exchange);
  Spawn(m_environment.context, "request",
        RunRequest(m_environment, aFlow, exchange));
}

auto Dispatcher::Forward(const Arrival& aArrival, const std::string& aOwner)
  -> void
{
  if (aArrival.forwarded) {
    // The sender took us for the owner; its caller will send again.
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  m_environment.metrics.Add(Counter::PacketsForwarded);
  wire::Forwarded forwarded;
  forwarded.caller =
    FormatEndpoint(aArrival.caller.address(), aArrival.caller.port());
  forwarded.datagram.assign(aArrival.data, aArrival.size);
  m_environment.hub.SendMessage(aOwner, wire::MessageType::Forwarded,
                                forwarded);
}

auto Dispatcher::PassToPeer(const Arrival& aArrival) -> bool
{
  auto peers = m_environment.members.AliveInDomain();
  if (peers.empty()) {
    peers = m_environment.members.Alive();
  }
  std::erase_if(
    peers, [](const peer::Member& aMember) { return aMember.latest.draining; });
  if (peers.empty()) {
    return false;
  }
  Forward(aArrival, peers[m_nextPeer++ % peers.size()].address);
  return true;
}

auto Dispatcher::SendWithToken(const Arrival& aArrival, PacketType aType,
                               const Flow& aFlow) -> void
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = aFlow.id;
  packet.sequence = aArrival.packet.sequence;
  packet.token = aFlow.token;
  SendPacket(m_environment, aArrival.caller, packet);
}

/// Refuses a request here. For at-most-once work without a token that is "not
/// run"; anything else may have run at another owner.
auto Dispatcher::Refuse(const Arrival& aArrival, Reason aReason,
                        std::uint32_t aRetryAfterMs) -> void
{
  const bool once = aArrival.work.execution == Execution::AtMostOnce;
  Reply(aArrival, once ? PacketType::NotRun : PacketType::Refused, aReason,
        aRetryAfterMs);
}

auto Dispatcher::Reply(const Arrival& aArrival, PacketType aType,
                       Reason aReason, std::uint32_t aRetryAfterMs) -> void
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = aArrival.packet.flow;
  packet.sequence = aArrival.packet.sequence;
  packet.code = static_cast<std::uint32_t>(aReason);
  packet.retryAfterMs = aRetryAfterMs;
  SendPacket(m_environment, aArrival.caller, packet);
}

} // namespace bramleylock::flow
