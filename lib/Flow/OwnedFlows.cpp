// The dispatcher's part for flows that this balancer owns.

#include "Arrival.h"

#include "bramleylock/Flow/FlowRecord.h"
#include "bramleylock/Flow/RequestRunner.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;
using wire::PacketType;
using wire::Reason;

/// Parts of a remembered answer that are sent for one request, and for one
/// acknowledgement; callers acknowledge every 8 parts.
static constexpr std::size_t kOutcomeWindow = 32;
static constexpr std::size_t kOutcomeStep = 8;

auto Dispatcher::OpenFlow(Arrival& aArrival) -> void
{
  auto flow = m_flows.Find(aArrival.packet.flow);
  if (flow && RepeatKnown(aArrival, flow)) {
    return;
  }
  const bool once = aArrival.work.execution == Execution::AtMostOnce;
  if (flow && !once) {
    StartRequest(aArrival, flow);
    return;
  }
  if (RejectedEarly(aArrival, nullptr)) {
    return;
  }
  if (!flow) {
    flow = NewFlow(aArrival);
  }
  if (once) {
    m_environment.metrics.Add(Counter::RefusedOpenFirst);
    SendWithToken(aArrival, PacketType::Opened, flow->token);
    return;
  }
  Accept(aArrival, flow);
}

/// Whether aPlan's limits refuse one more request. A request that only opens
/// its flow takes nothing of them yet.
auto Dispatcher::PlanRefusal(const std::string& aPlan, bool aTake)
  -> admission::Refusal
{
  const auto lists = m_environment.lists.Current();
  const auto plan = lists->plans.find(aPlan);
  if (plan == lists->plans.end()) {
    return {};
  }
  auto& limits = m_environment.planLimits;
  const auto now = WallMilliseconds();
  return aTake ? limits.Take(aPlan, plan->second, now)
               : limits.Check(aPlan, plan->second, now);
}

/// Answers a request that the admission policy or its plan's limits refuse now,
/// before anything is kept for it; true when it did. aOwned is the flow whose
/// record keeps the answer; without one, at-most-once work only opens its flow.
auto Dispatcher::RejectedEarly(const Arrival& aArrival,
                               const std::shared_ptr<Flow>& aOwned) -> bool
{
  const auto request =
    MakeAdmissionRequest(m_environment, aArrival.plan, aArrival.packet.service,
                         aArrival.packet, aArrival.work);
  const bool once = aArrival.work.execution == Execution::AtMostOnce;
  auto refusal = m_environment.admission.CheckEarly(request);
  if (refusal.reason == Reason::None) {
    refusal = PlanRefusal(aArrival.plan, aOwned || !once);
  }
  if (refusal.reason == Reason::None) {
    return false;
  }
  CountReason(m_environment.metrics, refusal.reason);
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
  const auto& packet = aArrival.packet;
  auto flow =
    MakeFlow(m_environment, packet.flow, aArrival.plan, packet.service);
  m_flows.Add(flow);
  m_environment.metrics.Add(Counter::FlowsOpened);
  return flow;
}

auto Dispatcher::HandleOwned(Arrival& aArrival) -> void
{
  const auto& packet = aArrival.packet;
  auto flow = m_flows.Find(packet.flow);
  if (m_handOver.Moving(packet.flow)) {
    m_handOver.Hold(packet.flow, MakeForwarded(aArrival));
    return;
  }
  if (!flow && m_draining) {
    // It was handed over, perhaps to nobody knows whom. Opening it again would
    // lose the record of what ran here.
    PassToSuccessor(aArrival);
    return;
  }
  if (packet.type != PacketType::Request) {
    if (!flow) {
      m_environment.metrics.Add(Counter::PacketStray);
      return;
    }
    HandleActive(aArrival, *flow);
    return;
  }
  if (flow && RepeatKnown(aArrival, flow)) {
    return;
  }
  if (!CheckAuthorized(aArrival)) {
    return;
  }
  const auto self = OwnerOf(m_environment.members.Self());
  const auto named = OwnerOf(aArrival.token);
  if (aArrival.work.execution == Execution::AtMostOnce &&
      (!flow || (named != self && !CameFrom(*flow, named)))) {
    // A flow that was opened again for repeatable work has no record of what
    // its earlier owner ran.
    CountReason(m_environment.metrics, Reason::FlowForgotten);
    Reply(aArrival, PacketType::Unknown, Reason::FlowForgotten);
    return;
  }
  if (!flow) {
    flow = NewFlow(aArrival);
  }
  if (flow->frozen) {
    m_handOver.Hold(flow->id, MakeForwarded(aArrival));
    return;
  }
  if (flow->keyId != m_environment.keys.SigningKeyId()) {
    RenewToken(m_environment, *flow);
  }
  if (packet.token != flow->token) {
    // Later requests of the flow need no detour by an earlier owner, and no
    // key that is about to go.
    SendWithToken(aArrival, PacketType::Moved, flow->token);
  }
  StartRequest(aArrival, flow);
}

auto Dispatcher::HandleActive(const Arrival& aArrival, Flow& aFlow) -> void
{
  const auto& packet = aArrival.packet;
  if (packet.type == PacketType::Close) {
    if (aFlow.active.empty() && aFlow.outcomes.empty()) {
      m_flows.Remove(aFlow.id);
      m_environment.metrics.Add(Counter::FlowsClosed);
    }
    return;
  }
  const auto active = aFlow.active.find(packet.sequence);
  if (active == aFlow.active.end() && ContinueOutcome(aArrival, aFlow)) {
    return;
  }
  if (active == aFlow.active.end()) {
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

auto Dispatcher::SendOutcome(const Outcome& aOutcome,
                             const Udp::endpoint& aCaller, std::size_t aFirst,
                             std::size_t aCount) -> void
{
  const auto& datagrams = aOutcome.datagrams;
  // A word without parts is sent whatever part the caller asks for.
  const auto first = datagrams.size() == 1 ? 0 : aFirst;
  const auto end = std::min(datagrams.size(), first + aCount);
  for (auto i = first; i < end; ++i) {
    m_environment.send(aCaller, datagrams[i]);
  }
}

/// Sends more of a remembered answer, at the pace of the acknowledgements.
auto Dispatcher::ContinueOutcome(const Arrival& aArrival, const Flow& aFlow)
  -> bool
{
  const auto& packet = aArrival.packet;
  const auto found = aFlow.outcomes.find(packet.sequence);
  if (packet.type != PacketType::Acknowledge || found == aFlow.outcomes.end() ||
      found->second.datagrams.size() == 1) {
    return false;
  }
  const auto& outcome = found->second;
  SendOutcome(outcome, aArrival.caller, packet.part, 1);
  for (const auto part : packet.missing) {
    SendOutcome(outcome, aArrival.caller, part, 1);
  }
  const auto next = packet.part + kOutcomeWindow - kOutcomeStep;
  SendOutcome(outcome, aArrival.caller, next, kOutcomeStep);
  return true;
}

auto Dispatcher::PassToSuccessor(const Arrival& aArrival) -> void
{
  if (const auto successor = m_handOver.Successor()) {
    Forward(aArrival, successor->address);
    return;
  }
  m_environment.metrics.Add(Counter::PacketStray);
}

auto Dispatcher::RepeatKnown(Arrival& aArrival,
                             const std::shared_ptr<Flow>& aFlow) -> bool
{
  const auto sequence = aArrival.packet.sequence;
  const auto active = aFlow->active.find(sequence);
  if (active != aFlow->active.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    active->second->caller = aArrival.caller;
    SendWithToken(aArrival, PacketType::Accepted, active->second->token);
    return true;
  }
  const auto outcome = aFlow->outcomes.find(sequence);
  if (outcome != aFlow->outcomes.end()) {
    m_environment.metrics.Add(Counter::PacketDuplicate);
    SendOutcome(outcome->second, aArrival.caller, aArrival.packet.part,
                kOutcomeWindow);
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
  if (RejectedEarly(aArrival, aFlow)) {
    return;
  }
  Accept(aArrival, aFlow);
}

auto Dispatcher::Accept(Arrival& aArrival, const std::shared_ptr<Flow>& aFlow)
  -> void
{
  auto exchange = std::make_shared<Exchange>();
  // The caller takes the answer under the token that it knows, as long as that
  // leads here.
  const auto& known = aArrival.packet.token;
  const auto owner = m_continuations.Resolve(OwnerOf(aArrival.token));
  const bool leadsHere = !known.empty() && OwnedHere(aArrival, owner);
  exchange->token = leadsHere ? known : aFlow->token;
  if (known.empty() || aArrival.work.size == lists::SizeClass::Long) {
    // The caller learns the owner before its first resend. Without a token a
    // resend opens another owner, where the request runs a second time; in a
    // flood all work takes longer than that.
    SendWithToken(aArrival, PacketType::Accepted, exchange->token);
  }
  exchange->request = std::move(aArrival.packet);
  exchange->plan = aArrival.plan;
  exchange->work = aArrival.work;
  exchange->caller = aArrival.caller;
  exchange->deadline = DeadlineOf(exchange->request, aArrival.work);
  Begin(aFlow, exchange);
}

auto Dispatcher::Begin(const std::shared_ptr<Flow>& aFlow,
                       const std::shared_ptr<Exchange>& aExchange) -> void
{
  aFlow->active.emplace(aExchange->request.sequence, aExchange);
  m_flows.CountBegun();
  m_environment.planLimits.Begin(aExchange->plan);
  Spawn(m_environment.context, "request", RunCounted(aFlow, aExchange));
}

auto Dispatcher::RunCounted(std::shared_ptr<Flow> aFlow,
                            std::shared_ptr<Exchange> aExchange)
  -> awaitable<void>
{
  const auto plan = aExchange->plan;
  co_await RunRequest(m_environment, std::move(aFlow), std::move(aExchange));
  m_environment.planLimits.End(plan);
  m_flows.CountEnded();
}

} // namespace bramleylock::flow
