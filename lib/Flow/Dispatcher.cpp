// Packet routing.
//
// A packet with a token is routed to the owner that the token names. A request
// without a token opens a flow on this balancer. If it is at-most-once, it is
// not run yet but answered with a token: two copies of such a packet may open
// the flow at two owners, and only a token identifies a single one.

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
  // Records may expire then, because an owner forgets a flow that has been
  // idle for aIdleFlow.
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
  peer::Receive<wire::Forwarded>(
    m_environment.hub, wire::MessageType::Forwarded, m_environment.metrics,
    [this](const wire::Hello&, const wire::Forwarded& aForwarded) {
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

auto Dispatcher::OnForwarded(const wire::Forwarded& aForwarded) -> void
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
    // The packet may have waited in the socket's buffer past its deadline. A
    // caller that still needs the answer retransmits the request.
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
      // The other packet types are sent only by balancers.
      m_environment.metrics.Add(Counter::PacketStray);
      return;
  }
}

/// Returns whether the lists allow the request; sends a refusal if not.
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
  // A request with a token is routed before it is authorized: only the owner
  // knows whether the request has run, regardless of this balancer's lists.
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
    // The token's key has not reached this balancer yet; the caller retransmits
    // the packet.
    m_environment.metrics.Add(Counter::TokenKeyNewer);
    return;
  }
  if (error) {
    const auto reason = error == wire::TokenError::KeyUnknown
                          ? Reason::KeyUnknown
                          : Reason::Forged;
    CountReason(m_environment.metrics, reason);
    // The owner may have run the request, so the outcome is unknown rather than
    // not run.
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

/// Forwards a packet whose owner is lost, and was in another failure domain, to
/// a member of that domain, which is most likely to have the owner's successor
/// record. Returns false if no such member is known.
auto Dispatcher::PassToDomain(const Arrival& aArrival) -> bool
{
  const auto& domain = aArrival.token.failureDomain;
  if (aArrival.hops > 0 ||
      domain == m_environment.members.Self().failureDomain) {
    return false;
  }
  auto members = m_environment.members.Alive();
  std::erase_if(members, [&](const peer::Member& aMember) {
    return aMember.failureDomain != domain || aMember.latest.draining ||
           aMember.address == aArrival.token.owner;
  });
  if (members.empty()) {
    return false;
  }
  Forward(aArrival, members[m_nextPeer++ % members.size()].address);
  return true;
}

/// Whether this balancer is responsible for the packet's flow. It is if the
/// owner, resolved through the successor records, is this incarnation, or if
/// the flow has already arrived from an owner whose hand-over is in progress.
/// A flow of the same identifier that a duplicate of the first packet opened
/// here does not count: it has no record of what the owner ran.
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
  // Repeatable work is run here, starting from the part that the caller asks
  // for.
  OpenFlow(aArrival);
}

auto Dispatcher::MakeForwarded(const Arrival& aArrival) const -> wire::Forwarded
{
  wire::Forwarded forwarded;
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
    // The balancers' views of the owner differ; the caller will retransmit.
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  m_environment.metrics.Add(Counter::PacketsForwarded);
  m_environment.hub.SendMessage(aOwner, wire::MessageType::Forwarded,
                                MakeForwarded(aArrival));
}

auto Dispatcher::PassToPeer(const Arrival& aArrival) -> bool
{
  const auto draining = [](const peer::Member& aMember) {
    return aMember.latest.draining;
  };
  auto peers = m_environment.members.AliveInDomain();
  std::erase_if(peers, draining);
  if (peers.empty()) {
    // Every other live member of the failure domain is draining.
    peers = m_environment.members.Alive();
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

/// Refuses a request. At-most-once work without a token has certainly not run
/// and is reported as NotRun; other work may have run at another owner and is
/// reported as Refused.
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
