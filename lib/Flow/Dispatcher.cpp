// Packet routing.
//
// A packet with a token goes to the owner that the token names. Without one, a
// request opens a flow here; an at-most-once request is then not run but
// answered with a token, because two copies of a first packet may open two
// owners and only a token names one.

#include "Arrival.h"

#include "bramleylock/Flow/Authorization.h"
#include "bramleylock/Flow/FlowRecord.h"
#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;
using wire::PacketType;
using wire::Reason;

static constexpr Milliseconds kExpireEvery{ 1000 };
static constexpr std::uint32_t kNotReadyRetryAfterMs = 500;
static constexpr std::uint32_t kDrainingRetryAfterMs = 100;

Dispatcher::Dispatcher(Environment& aEnvironment,
                       std::chrono::seconds aIdleFlow)
  : m_environment(aEnvironment)
  , m_idleFlow(aIdleFlow)
  , m_pauses(aEnvironment.context, aEnvironment.metrics)
  // A flow that nobody used for so long is forgotten by its owner as well.
  , m_continuations(aEnvironment, aIdleFlow * 2)
  , m_handOver(aEnvironment, m_flows, m_continuations,
               [this](const std::shared_ptr<Flow>& aFlow,
                      const std::shared_ptr<Exchange>& aExchange) {
                 Begin(aFlow, aExchange);
               })
{
}

auto Dispatcher::Start() -> void
{
  peer::SetMessageHandler<wire::ForwardedDatagram>(
    m_environment.hub, wire::MessageType::ForwardedDatagram,
    m_environment.metrics,
    [this](const wire::Hello&, const wire::ForwardedDatagram& aForwarded) {
      OnForwarded(aForwarded);
    });
  m_continuations.Start();
  m_handOver.Start();
  Spawn(m_environment.context, "expire-flows", ExpireLoop());
  m_pauses.Start();
}

auto Dispatcher::Drain() -> void
{
  m_draining = true;
}

auto Dispatcher::Draining() const -> bool
{
  return m_draining;
}

auto Dispatcher::HandOverFlows(Clock::time_point aLimit) -> awaitable<void>
{
  co_await m_handOver.Run(aLimit);
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

auto Dispatcher::OnForwarded(const wire::ForwardedDatagram& aForwarded) -> void
{
  Arrival arrival;
  std::error_code error;
  arrival.data = aForwarded.datagram.data();
  arrival.size = aForwarded.datagram.size();
  arrival.caller = ParseUdpEndpoint(aForwarded.caller, error);
  arrival.hops = aForwarded.hops + 1;
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
  if (aArrival.packet.type == PacketType::Request && m_pauses.MayBeStale()) {
    // The caller sends it again if it still wants it.
    m_environment.metrics.Add(Counter::PacketStale);
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

/// Refuses what the lists do not allow; true when the packet may go on.
auto Dispatcher::CheckAuthorized(Arrival& aArrival) -> bool
{
  auto authorization = Authorize(m_environment, aArrival.packet);
  const auto refusal = authorization.refusal;
  aArrival.plan = std::move(authorization.plan);
  aArrival.work = authorization.work;
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
    if (aArrival.hops >= kHopLimit || !PassToPeer(aArrival)) {
      CountReason(m_environment.metrics, Reason::Draining);
      Refuse(aArrival, Reason::Draining, kDrainingRetryAfterMs);
    }
    return;
  }
  OpenFlow(aArrival);
}

auto Dispatcher::HandleRouted(Arrival& aArrival) -> void
{
  std::error_code error;
  const auto& packet = aArrival.packet;
  aArrival.token = m_environment.keys.Verify(packet.token, packet.flow, error);
  if (error == wire::TokenError::KeyNewer) {
    // This balancer has yet to hear of the key; the caller sends again.
    m_environment.metrics.Add(Counter::TokenKeyNewer);
    return;
  }
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
  const auto owner = m_continuations.Resolve(OwnerOf(aArrival.token));
  if (OwnedHere(aArrival, owner)) {
    HandleOwned(aArrival);
    return;
  }
  if (owner != OwnerOf(aArrival.token)) {
    m_environment.metrics.Add(Counter::OwnerContinued);
  }
  if (Reachable(owner)) {
    Forward(aArrival, owner.address);
    return;
  }
  if (!PassToDomain(aArrival)) {
    HandleOwnerLost(aArrival);
  }
}

/// Passes a packet for a lost owner of another failure domain to a member
/// there, which knows best whether the flow continues and where.
auto Dispatcher::PassToDomain(const Arrival& aArrival) -> bool
{
  const auto& domain = aArrival.token.failureDomain;
  if (aArrival.hops > 0 ||
      domain == m_environment.members.Self().failureDomain) {
    return false;
  }
  auto members = m_environment.members.AliveMembers();
  std::erase_if(members, [&](const peer::Member& aMember) {
    return aMember.failureDomain != domain ||
           aMember.latestHeartbeat.draining ||
           aMember.address == aArrival.token.owner;
  });
  if (members.empty()) {
    return false;
  }
  Forward(aArrival, members[m_nextPeer++ % members.size()].address);
  return true;
}

/// Whether this balancer decides about the packet: its token names this
/// incarnation or one whose flows continue here, or the flow has come already
/// from an owner that is still handing over. A copy that a second first packet
/// opened here has not come from it.
auto Dispatcher::OwnedHere(const Arrival& aArrival, const wire::Owner& aOwner)
  -> bool
{
  if (aOwner == OwnerOf(m_environment.members.Self())) {
    return true;
  }
  if (!m_handOver.Inherits(OwnerOf(aArrival.token))) {
    return false;
  }
  const auto flow = m_flows.Find(aArrival.packet.flow);
  return (flow && CameFrom(*flow, OwnerOf(aArrival.token))) ||
         m_handOver.Moving(aArrival.packet.flow);
}

auto Dispatcher::Reachable(const wire::Owner& aOwner) const -> bool
{
  const auto& members = m_environment.members;
  return aOwner.address != members.Self().address &&
         members.IsAlive(aOwner.address, aOwner.incarnation);
}

auto Dispatcher::HandleOwnerLost(Arrival& aArrival) -> void
{
  if (aArrival.packet.type != PacketType::Request) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  auto authorization = Authorize(m_environment, aArrival.packet);
  aArrival.plan = std::move(authorization.plan);
  aArrival.work = authorization.work;
  if (authorization.refusal != Reason::None ||
      aArrival.work.execution == Execution::AtMostOnce) {
    CountReason(m_environment.metrics, Reason::OwnerLost);
    Reply(aArrival, PacketType::Unknown, Reason::OwnerLost);
    return;
  }
  if (m_draining && PassToPeer(aArrival)) {
    return;
  }
  // Repeatable work continues here, from the part that the caller asks for.
  OpenFlow(aArrival);
}

auto Dispatcher::MakeForwarded(const Arrival& aArrival) const
  -> wire::ForwardedDatagram
{
  wire::ForwardedDatagram forwarded;
  forwarded.caller =
    FormatEndpoint(aArrival.caller.address(), aArrival.caller.port());
  forwarded.datagram.assign(aArrival.data, aArrival.size);
  forwarded.hops = aArrival.hops;
  return forwarded;
}

auto Dispatcher::Forward(const Arrival& aArrival, const std::string& aOwner)
  -> void
{
  if (aArrival.hops >= kHopLimit) {
    // Balancers disagree about the owner; the caller will send again.
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  m_environment.metrics.Add(Counter::PacketsForwarded);
  m_environment.hub.SendMessage(aOwner, wire::MessageType::ForwardedDatagram,
                                MakeForwarded(aArrival));
}

auto Dispatcher::PassToPeer(const Arrival& aArrival) -> bool
{
  const auto draining = [](const peer::Member& aMember) {
    return aMember.latestHeartbeat.draining;
  };
  auto peers = m_environment.members.AliveMembersInDomain();
  std::erase_if(peers, draining);
  if (peers.empty()) {
    // The whole failure domain stops.
    peers = m_environment.members.AliveMembers();
    std::erase_if(peers, draining);
  }
  if (peers.empty()) {
    return false;
  }
  Forward(aArrival, peers[m_nextPeer++ % peers.size()].address);
  return true;
}

auto Dispatcher::SendWithToken(const Arrival& aArrival, PacketType aType,
                               const std::string& aToken) -> void
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = aArrival.packet.flow;
  packet.sequence = aArrival.packet.sequence;
  packet.token = aToken;
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
