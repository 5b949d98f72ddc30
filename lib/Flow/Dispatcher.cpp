// Packet routing.
//
// A packet with a token is routed to the owner that the token names. A request
// without a token opens a flow on this balancer. If it is at-most-once, it is
// not run yet but answered with a token: two copies of such a packet may open
// the flow at two owners, and only a token identifies a single one.

#include "IncomingPacket.h"

#include "bramleylock/Flow/Authorization.h"
#include "bramleylock/Flow/FlowRecord.h"
#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;
using wire::PacketType;
using wire::Reason;

static constexpr Milliseconds kExpireInterval{ 1000 };
static constexpr std::uint32_t kNotReadyRetryAfterMs = 500;
static constexpr std::uint32_t kDrainingRetryAfterMs = 100;

Dispatcher::Dispatcher(Environment& aEnvironment,
                       std::chrono::seconds aIdleTimeout)
  : m_environment(aEnvironment)
  , m_idleTimeout(aIdleTimeout)
  , m_pauseDetector(aEnvironment.context, aEnvironment.metrics)
  // Records may expire then, because an owner forgets a flow that has been idle
  // for aIdleTimeout.
  , m_successorTable(aEnvironment, aIdleTimeout * 2)
  , m_handOver(aEnvironment, m_flows, m_successorTable,
               [this](const std::shared_ptr<Flow>& aFlow,
                      const std::shared_ptr<Exchange>& aExchange) {
                 BeginRequest(aFlow, aExchange);
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
  m_successorTable.Start();
  m_handOver.Start();
  Spawn(m_environment.context, "expire-flows", ExpireLoop());
  m_pauseDetector.Start();
}

auto Dispatcher::Drain() -> void
{
  m_draining = true;
}

auto Dispatcher::Draining() const -> bool
{
  return m_draining;
}

auto Dispatcher::HandOverFlows(Clock::time_point aDeadline) -> awaitable<void>
{
  co_await m_handOver.Run(aDeadline);
}

auto Dispatcher::Flows() const -> const FlowTable&
{
  return m_flows;
}

auto Dispatcher::ExpireLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kExpireInterval);
    const auto forgotten = m_flows.Expire(m_idleTimeout);
    m_environment.metrics.Add(Counter::FlowsClosed, forgotten);
  }
}

auto Dispatcher::OnDatagram(const char* aData, std::size_t aSize,
                            const Udp::endpoint& aCaller) -> void
{
  m_environment.metrics.Add(Counter::PacketsReceived);
  IncomingPacket incoming;
  incoming.data = aData;
  incoming.size = aSize;
  incoming.caller = aCaller;
  Handle(incoming);
}

auto Dispatcher::OnForwarded(const wire::ForwardedDatagram& aForwarded) -> void
{
  IncomingPacket incoming;
  std::error_code error;
  incoming.data = aForwarded.datagram.data();
  incoming.size = aForwarded.datagram.size();
  incoming.caller = ParseUdpEndpoint(aForwarded.caller, error);
  incoming.hops = aForwarded.hops + 1;
  if (error) {
    m_environment.metrics.Add(Counter::PeerFrameMalformed);
    return;
  }
  Handle(incoming);
}

static auto CounterForDecodeError(std::error_code aError) -> Counter
{
  if (aError == wire::PacketError::Oversized) {
    return Counter::PacketOversized;
  }
  return aError == wire::PacketError::Version ? Counter::PacketVersion
                                              : Counter::PacketMalformed;
}

auto Dispatcher::Handle(IncomingPacket& aIncoming) -> void
{
  std::error_code error;
  aIncoming.packet = wire::Decode(aIncoming.data, aIncoming.size, error);
  if (error) {
    m_environment.metrics.Add(CounterForDecodeError(error));
    return;
  }
  if (aIncoming.packet.type == PacketType::Request &&
      m_pauseDetector.MayBeStale()) {
    // The packet may have waited in the socket's buffer past its deadline. A
    // caller that still needs the answer retransmits the request.
    m_environment.metrics.Add(Counter::PacketStale);
    return;
  }
  switch (aIncoming.packet.type) {
    case PacketType::Request:
      HandleRequest(aIncoming);
      return;
    case PacketType::Acknowledge:
    case PacketType::Cancel:
    case PacketType::Close:
      RouteByToken(aIncoming);
      return;
    default:
      // The other packet types are sent only by balancers.
      m_environment.metrics.Add(Counter::PacketStray);
      return;
  }
}

/// Returns whether the lists allow the request; sends a refusal if not.
auto Dispatcher::CheckAuthorization(IncomingPacket& aIncoming) -> bool
{
  auto authorization = Authorize(m_environment, aIncoming.packet);
  const auto refusal = authorization.refusal;
  aIncoming.plan = std::move(authorization.plan);
  aIncoming.work = authorization.work;
  if (refusal == Reason::None) {
    return true;
  }
  const auto retry = refusal == Reason::NotReady ? kNotReadyRetryAfterMs : 0;
  CountReason(m_environment.metrics, refusal);
  Refuse(aIncoming, refusal, retry);
  return false;
}

auto Dispatcher::HandleRequest(IncomingPacket& aIncoming) -> void
{
  // A request with a token is routed before it is authorized: only the owner
  // knows whether the request has run, regardless of this balancer's lists.
  if (!aIncoming.packet.token.empty()) {
    RouteByToken(aIncoming);
    return;
  }
  if (!CheckAuthorization(aIncoming)) {
    return;
  }
  if (m_draining) {
    if (aIncoming.hops >= kMaxHops || !ForwardToPeer(aIncoming)) {
      CountReason(m_environment.metrics, Reason::Draining);
      Refuse(aIncoming, Reason::Draining, kDrainingRetryAfterMs);
    }
    return;
  }
  OpenFlow(aIncoming);
}

auto Dispatcher::RouteByToken(IncomingPacket& aIncoming) -> void
{
  std::error_code error;
  const auto& packet = aIncoming.packet;
  aIncoming.token = m_environment.keys.Verify(packet.token, packet.flow, error);
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
    if (ShouldLog(LogLevel::Info, "token-rejected")) {
      LogInfo(
        "token-rejected",
        { { "flow", std::to_string(packet.flow) },
          { "sequence", std::to_string(packet.sequence) },
          { "packet", std::to_string(static_cast<int>(packet.type)) },
          { "hops", std::to_string(aIncoming.hops) },
          { "why", error.message() },
          { "key",
            std::to_string(wire::ClaimedKeyId(packet.token).value_or(0)) },
          { "newest_key", std::to_string(m_environment.keys.NewestKeyId()) } });
    }
    // The owner may have run the request, so the outcome is unknown rather than
    // not run.
    Reply(aIncoming, PacketType::Unknown, reason);
    return;
  }
  if (packet.type == PacketType::Request &&
      aIncoming.token.service != packet.service) {
    CountReason(m_environment.metrics, Reason::ForeignService);
    Reply(aIncoming, PacketType::Unknown, Reason::ForeignService);
    return;
  }
  const auto owner = m_successorTable.Resolve(OwnerOf(aIncoming.token));
  if (OwnsFlow(aIncoming, owner)) {
    HandleOwned(aIncoming);
    return;
  }
  if (owner != OwnerOf(aIncoming.token)) {
    m_environment.metrics.Add(Counter::OwnerContinued);
  }
  if (IsReachable(owner)) {
    Forward(aIncoming, owner.address);
    return;
  }
  if (!ForwardToOwnerDomain(aIncoming)) {
    HandleOwnerLost(aIncoming);
  }
}

/// Forwards a packet whose owner is lost, and was in another failure domain, to
/// a member of that domain, which is most likely to have the owner's successor
/// record. Returns false if no such member is known.
auto Dispatcher::ForwardToOwnerDomain(const IncomingPacket& aIncoming) -> bool
{
  const auto& domain = aIncoming.token.failureDomain;
  if (aIncoming.hops > 0 ||
      domain == m_environment.members.Self().failureDomain) {
    return false;
  }
  auto members = m_environment.members.AliveMembers();
  std::erase_if(members, [&](const peer::Member& aMember) {
    return aMember.failureDomain != domain ||
           aMember.latestHeartbeat.draining ||
           aMember.address == aIncoming.token.owner;
  });
  if (members.empty()) {
    return false;
  }
  Forward(aIncoming, members[m_nextPeer++ % members.size()].address);
  return true;
}

/// Whether this balancer is responsible for the packet's flow. It is if the
/// owner, resolved through the successor records, is this incarnation, or if
/// the flow has already arrived from an owner whose hand-over is in progress. A
/// flow of the same identifier that a duplicate of the first packet opened here
/// does not count: it has no record of what the owner ran.
auto Dispatcher::OwnsFlow(const IncomingPacket& aIncoming,
                          const wire::Owner& aOwner) -> bool
{
  if (aOwner == OwnerOf(m_environment.members.Self())) {
    return true;
  }
  if (!m_handOver.IsReceivingFrom(OwnerOf(aIncoming.token))) {
    return false;
  }
  const auto flow = m_flows.Find(aIncoming.packet.flow);
  return (flow && WasHandedOverFrom(*flow, OwnerOf(aIncoming.token))) ||
         m_handOver.IsInTransfer(aIncoming.packet.flow);
}

auto Dispatcher::IsReachable(const wire::Owner& aOwner) const -> bool
{
  const auto& members = m_environment.members;
  return aOwner.address != members.Self().address &&
         members.IsAlive(aOwner.address, aOwner.incarnation);
}

auto Dispatcher::HandleOwnerLost(IncomingPacket& aIncoming) -> void
{
  if (aIncoming.packet.type != PacketType::Request) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  auto authorization = Authorize(m_environment, aIncoming.packet);
  aIncoming.plan = std::move(authorization.plan);
  aIncoming.work = authorization.work;
  if (authorization.refusal != Reason::None ||
      aIncoming.work.execution == Execution::AtMostOnce) {
    CountReason(m_environment.metrics, Reason::OwnerLost);
    Reply(aIncoming, PacketType::Unknown, Reason::OwnerLost);
    return;
  }
  if (m_draining && ForwardToPeer(aIncoming)) {
    return;
  }
  // Repeatable work is run here, starting from the part that the caller asks
  // for.
  OpenFlow(aIncoming);
}

auto Dispatcher::MakeForwarded(const IncomingPacket& aIncoming) const
  -> wire::ForwardedDatagram
{
  wire::ForwardedDatagram forwarded;
  forwarded.caller =
    FormatEndpoint(aIncoming.caller.address(), aIncoming.caller.port());
  forwarded.datagram.assign(aIncoming.data, aIncoming.size);
  forwarded.hops = aIncoming.hops;
  return forwarded;
}

auto Dispatcher::Forward(const IncomingPacket& aIncoming,
                         const std::string& aOwner) -> void
{
  if (aIncoming.hops >= kMaxHops) {
    // The balancers' views of the owner differ; the caller will retransmit.
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  m_environment.metrics.Add(Counter::PacketsForwarded);
  m_environment.hub.SendMessage(aOwner, wire::MessageType::ForwardedDatagram,
                                MakeForwarded(aIncoming));
}

auto Dispatcher::ForwardToPeer(const IncomingPacket& aIncoming) -> bool
{
  const auto draining = [](const peer::Member& aMember) {
    return aMember.latestHeartbeat.draining;
  };
  auto peers = m_environment.members.AliveMembersInDomain();
  std::erase_if(peers, draining);
  if (peers.empty()) {
    // Every other live member of the failure domain is draining.
    peers = m_environment.members.AliveMembers();
    std::erase_if(peers, draining);
  }
  if (peers.empty()) {
    return false;
  }
  Forward(aIncoming, peers[m_nextPeer++ % peers.size()].address);
  return true;
}

auto Dispatcher::SendWithToken(const IncomingPacket& aIncoming,
                               PacketType aType, const std::string& aToken)
  -> void
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = aIncoming.packet.flow;
  packet.sequence = aIncoming.packet.sequence;
  packet.token = aToken;
  SendPacket(m_environment, aIncoming.caller, packet);
}

/// Refuses a request. At-most-once work without a token has certainly not run
/// and is reported as NotRun; other work may have run at another owner and is
/// reported as Refused.
auto Dispatcher::Refuse(const IncomingPacket& aIncoming, Reason aReason,
                        std::uint32_t aRetryAfterMs) -> void
{
  const bool atMostOnce = aIncoming.work.execution == Execution::AtMostOnce;
  Reply(aIncoming, atMostOnce ? PacketType::NotRun : PacketType::Refused,
        aReason, aRetryAfterMs);
}

auto Dispatcher::Reply(const IncomingPacket& aIncoming, PacketType aType,
                       Reason aReason, std::uint32_t aRetryAfterMs) -> void
{
  wire::Packet packet;
  packet.type = aType;
  packet.flow = aIncoming.packet.flow;
  packet.sequence = aIncoming.packet.sequence;
  packet.code = static_cast<std::uint32_t>(aReason);
  packet.retryAfterMs = aRetryAfterMs;
  SendPacket(m_environment, aIncoming.caller, packet);
}

} // namespace bramleylock::flow
