// The part of Dispatcher that handles packets of flows owned by this balancer.

#include "IncomingPacket.h"

#include "bramleylock/Flow/FlowRecord.h"
#include "bramleylock/Flow/RequestRunner.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;
using wire::PacketType;
using wire::Reason;

/// Number of parts of a recorded answer that are sent in response to one
/// repeated request, and to one acknowledgement. Callers acknowledge every 8
/// parts.
static constexpr std::size_t kRecordedPartsPerRequest = 32;
static constexpr std::size_t kRecordedPartsPerAcknowledgement = 8;

auto Dispatcher::OpenFlow(IncomingPacket& aIncoming) -> void
{
  auto flow = m_flows.Find(aIncoming.packet.flow);
  if (flow && HandleDuplicate(aIncoming, flow)) {
    return;
  }
  if (flow) {
    RenewOutdatedToken(m_environment, *flow);
  }
  const bool atMostOnce = aIncoming.work.execution == Execution::AtMostOnce;
  if (flow && !atMostOnce) {
    StartRequest(aIncoming, flow);
    return;
  }
  if (RejectEarly(aIncoming, nullptr)) {
    return;
  }
  if (!flow) {
    flow = NewFlow(aIncoming);
  }
  if (atMostOnce) {
    m_environment.metrics.Add(Counter::RefusedOpenFirst);
    SendWithToken(aIncoming, PacketType::Opened, flow->token);
    return;
  }
  AcceptRequest(aIncoming, flow);
}

/// Checks whether aPlan's limits allow one more request. With aConsume the
/// request is also counted against them; a request that only opens its flow is
/// not.
auto Dispatcher::CheckPlanLimits(const std::string& aPlan, bool aConsume)
  -> admission::Refusal
{
  const auto lists = m_environment.lists.Current();
  const auto plan = lists->plans.find(aPlan);
  if (plan == lists->plans.end()) {
    return {};
  }
  auto& limits = m_environment.planLimits;
  const auto now = UnixTimeMs();
  return aConsume ? limits.Consume(aPlan, plan->second, now)
                  : limits.Check(aPlan, plan->second, now);
}

/// Sends a refusal and returns true if the admission policy or the plan's
/// limits refuse the request, before any state is created for it. aOwnedFlow is
/// the flow that records the refusal of at-most-once work; it is null for a
/// request that opens its flow.
auto Dispatcher::RejectEarly(const IncomingPacket& aIncoming,
                             const std::shared_ptr<Flow>& aOwnedFlow) -> bool
{
  const auto request = MakeAdmissionRequest(m_environment, aIncoming.plan,
                                            aIncoming.packet.service,
                                            aIncoming.packet, aIncoming.work);
  const bool atMostOnce = aIncoming.work.execution == Execution::AtMostOnce;
  auto refusal = m_environment.admission.CheckEarly(request);
  if (refusal.reason == Reason::None) {
    refusal = CheckPlanLimits(aIncoming.plan, aOwnedFlow || !atMostOnce);
  }
  if (refusal.reason == Reason::None) {
    return false;
  }
  CountReason(m_environment.metrics, refusal.reason);
  wire::Packet packet;
  packet.type = atMostOnce ? PacketType::NotRun : PacketType::Refused;
  packet.flow = aIncoming.packet.flow;
  packet.sequence = aIncoming.packet.sequence;
  packet.token = aIncoming.packet.token;
  packet.code = static_cast<std::uint32_t>(refusal.reason);
  packet.retryAfterMs = refusal.retryAfterMs;
  SendPacket(m_environment, aIncoming.caller, packet);
  if (aOwnedFlow && atMostOnce) {
    // The recorded refusal keeps a late duplicate from being run.
    auto& outcome = aOwnedFlow->outcomes[packet.sequence];
    outcome.datagrams = { wire::Encode(packet) };
    outcome.expiresAt = request.deadline + kOutcomeRetention;
  }
  return true;
}

auto Dispatcher::NewFlow(const IncomingPacket& aIncoming)
  -> std::shared_ptr<Flow>
{
  const auto& packet = aIncoming.packet;
  auto flow =
    MakeFlow(m_environment, packet.flow, aIncoming.plan, packet.service);
  m_flows.Add(flow);
  m_environment.metrics.Add(Counter::FlowsOpened);
  return flow;
}

auto Dispatcher::HandleOwned(IncomingPacket& aIncoming) -> void
{
  const auto& packet = aIncoming.packet;
  auto flow = m_flows.Find(packet.flow);
  if (m_handOver.IsInTransfer(packet.flow)) {
    m_handOver.HoldPacket(packet.flow, MakeForwarded(aIncoming));
    return;
  }
  if (!flow && m_draining) {
    // The flow was handed over, possibly to a receiver that never confirmed it.
    // Opening it again would lose the record of what ran here.
    ForwardToSuccessor(aIncoming);
    return;
  }
  if (packet.type != PacketType::Request) {
    if (!flow) {
      m_environment.metrics.Add(Counter::PacketStray);
      return;
    }
    HandleControlPacket(aIncoming, *flow);
    return;
  }
  if (flow && HandleDuplicate(aIncoming, flow)) {
    return;
  }
  if (!CheckAuthorization(aIncoming)) {
    return;
  }
  const auto self = OwnerOf(m_environment.members.Self());
  const auto tokenOwner = OwnerOf(aIncoming.token);
  if (aIncoming.work.execution == Execution::AtMostOnce &&
      (!flow ||
       (tokenOwner != self && !WasHandedOverFrom(*flow, tokenOwner)))) {
    // A flow that was opened anew for repeatable work has no record of what its
    // earlier owner ran.
    CountReason(m_environment.metrics, Reason::FlowForgotten);
    Reply(aIncoming, PacketType::Unknown, Reason::FlowForgotten);
    return;
  }
  if (!flow) {
    flow = NewFlow(aIncoming);
  }
  if (flow->holdsRequests) {
    m_handOver.HoldPacket(flow->id, MakeForwarded(aIncoming));
    return;
  }
  RenewOutdatedToken(m_environment, *flow);
  if (packet.token != flow->token) {
    // With the current token, later requests of the flow are routed directly to
    // this balancer and do not depend on a key that is about to be retired.
    SendWithToken(aIncoming, PacketType::Moved, flow->token);
  }
  StartRequest(aIncoming, flow);
}

auto Dispatcher::HandleControlPacket(const IncomingPacket& aIncoming,
                                     Flow& aFlow) -> void
{
  const auto& packet = aIncoming.packet;
  if (packet.type == PacketType::Close) {
    if (aFlow.activeRequests.empty() && aFlow.outcomes.empty()) {
      m_flows.Remove(aFlow.id);
      m_environment.metrics.Add(Counter::FlowsClosed);
    }
    return;
  }
  const auto active = aFlow.activeRequests.find(packet.sequence);
  if (active == aFlow.activeRequests.end() &&
      ContinueRecordedAnswer(aIncoming, aFlow)) {
    return;
  }
  if (active == aFlow.activeRequests.end()) {
    m_environment.metrics.Add(Counter::PacketStray);
    return;
  }
  auto& exchange = *active->second;
  if (packet.type == PacketType::Acknowledge) {
    exchange.caller = aIncoming.caller;
    if (exchange.answer) {
      exchange.answer->Acknowledge(packet, aIncoming.caller);
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

auto Dispatcher::SendRecordedOutcome(const Outcome& aOutcome,
                                     const Udp::endpoint& aCaller,
                                     std::size_t aFirst, std::size_t aCount)
  -> void
{
  const auto& datagrams = aOutcome.datagrams;
  // An outcome of a single datagram is sent whichever part the caller asks for.
  const auto first = datagrams.size() == 1 ? 0 : aFirst;
  const auto end = std::min(datagrams.size(), first + aCount);
  for (auto i = first; i < end; ++i) {
    m_environment.send(aCaller, datagrams[i]);
  }
}

/// Sends further parts of a recorded answer in response to an acknowledgement.
/// Returns false if the packet does not concern a recorded multi-part answer.
auto Dispatcher::ContinueRecordedAnswer(const IncomingPacket& aIncoming,
                                        const Flow& aFlow) -> bool
{
  const auto& packet = aIncoming.packet;
  const auto found = aFlow.outcomes.find(packet.sequence);
  if (packet.type != PacketType::Acknowledge || found == aFlow.outcomes.end() ||
      found->second.datagrams.size() == 1) {
    return false;
  }
  const auto& outcome = found->second;
  SendRecordedOutcome(outcome, aIncoming.caller, packet.part, 1);
  for (const auto part : packet.missing) {
    SendRecordedOutcome(outcome, aIncoming.caller, part, 1);
  }
  const auto next =
    packet.part + kRecordedPartsPerRequest - kRecordedPartsPerAcknowledgement;
  SendRecordedOutcome(outcome, aIncoming.caller, next,
                      kRecordedPartsPerAcknowledgement);
  return true;
}

auto Dispatcher::ForwardToSuccessor(const IncomingPacket& aIncoming) -> void
{
  if (const auto successor = m_handOver.Successor()) {
    Forward(aIncoming, successor->address);
    return;
  }
  m_environment.metrics.Add(Counter::PacketStray);
}

auto Dispatcher::HandleDuplicate(IncomingPacket& aIncoming,
                                 const std::shared_ptr<Flow>& aFlow) -> bool
{
  const auto sequence = aIncoming.packet.sequence;
  const auto active = aFlow->activeRequests.find(sequence);
  if (active != aFlow->activeRequests.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    active->second->caller = aIncoming.caller;
    SendWithToken(aIncoming, PacketType::Accepted, active->second->token);
    return true;
  }
  const auto outcome = aFlow->outcomes.find(sequence);
  if (outcome != aFlow->outcomes.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    SendRecordedOutcome(outcome->second, aIncoming.caller,
                        aIncoming.packet.part, kRecordedPartsPerRequest);
    return true;
  }
  return false;
}

auto Dispatcher::StartRequest(IncomingPacket& aIncoming,
                              const std::shared_ptr<Flow>& aFlow) -> void
{
  if (aFlow->plan != aIncoming.plan ||
      aFlow->service != aIncoming.packet.service) {
    CountReason(m_environment.metrics, Reason::ForeignService);
    Reply(aIncoming, PacketType::Unknown, Reason::ForeignService);
    return;
  }
  aFlow->lastUsed = Clock::now();
  const bool atMostOnce = aIncoming.work.execution == Execution::AtMostOnce;
  if (atMostOnce && aIncoming.packet.sequence <= aFlow->sequenceFloor) {
    CountReason(m_environment.metrics, Reason::FlowForgotten);
    Reply(aIncoming, PacketType::Unknown, Reason::FlowForgotten);
    return;
  }
  if (RejectEarly(aIncoming, aFlow)) {
    return;
  }
  AcceptRequest(aIncoming, aFlow);
}

auto Dispatcher::AcceptRequest(IncomingPacket& aIncoming,
                               const std::shared_ptr<Flow>& aFlow) -> void
{
  auto exchange = std::make_shared<Exchange>();
  // The answer carries the token that the caller already has, as long as that
  // token is routed to this balancer.
  const auto& knownToken = aIncoming.packet.token;
  const auto owner = m_successorTable.Resolve(OwnerOf(aIncoming.token));
  const bool routedHere = !knownToken.empty() && OwnsFlow(aIncoming, owner);
  exchange->token = routedHere ? knownToken : aFlow->token;
  if (knownToken.empty() || aIncoming.work.size == lists::SizeClass::Long) {
    // This tells the caller the owner before its first retransmission, which
    // would otherwise carry no token, open the flow at another owner and run
    // the request a second time. Under overload even short work takes longer
    // than the retransmission timeout.
    SendWithToken(aIncoming, PacketType::Accepted, exchange->token);
  }
  exchange->request = std::move(aIncoming.packet);
  exchange->plan = aIncoming.plan;
  exchange->work = aIncoming.work;
  exchange->caller = aIncoming.caller;
  exchange->deadline = DeadlineOf(exchange->request, aIncoming.work);
  BeginRequest(aFlow, exchange);
}

auto Dispatcher::BeginRequest(const std::shared_ptr<Flow>& aFlow,
                              const std::shared_ptr<Exchange>& aExchange)
  -> void
{
  aFlow->activeRequests.emplace(aExchange->request.sequence, aExchange);
  m_flows.CountRequestStarted();
  m_environment.planLimits.BeginRequest(aExchange->plan);
  Spawn(m_environment.context, "request", RunTracked(aFlow, aExchange));
}

auto Dispatcher::RunTracked(std::shared_ptr<Flow> aFlow,
                            std::shared_ptr<Exchange> aExchange)
  -> awaitable<void>
{
  const auto plan = aExchange->plan;
  co_await RunRequest(m_environment, std::move(aFlow), std::move(aExchange));
  m_environment.planLimits.EndRequest(plan);
  m_flows.CountRequestEnded();
}

} // namespace bramleylock::flow
