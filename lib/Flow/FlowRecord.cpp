// What a flow is made of on its way from one owner to another.

#include "bramleylock/Flow/FlowRecord.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;

/// Answers of at-most-once requests that one flow may bring along.
static constexpr std::size_t kFlowBytes = 512U << 10;
static constexpr std::size_t kOriginLimit = 8;

/// Whether a request must end here: it may have run, and nobody else could
/// tell what became of it.
static auto MustFinish(const Flow& aFlow, const Exchange& aExchange) -> bool
{
  return aExchange.work.execution == Execution::AtMostOnce &&
         !aFlow.outcomes.contains(aExchange.request.sequence);
}

auto Busy(const Flow& aFlow, bool aFreeze) -> bool
{
  return std::any_of(
    aFlow.active.begin(), aFlow.active.end(), [&](const auto& aEntry) {
      const auto& exchange = *aEntry.second;
      return MustFinish(aFlow, exchange) ||
             (!aFreeze && exchange.work.size == lists::SizeClass::Short);
    });
}

static auto LeftMs(Clock::time_point aUntil) -> std::uint32_t
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aUntil - Clock::now());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
}

static auto DescribeRequest(const Exchange& aExchange)
  -> wire::TransferredRequest
{
  auto packet = aExchange.request;
  packet.credential.clear();
  packet.token.clear();
  if (aExchange.answer) {
    packet.part = aExchange.answer->Base();
    packet.answerTag = aExchange.answer->Tag();
  }
  wire::TransferredRequest request;
  request.datagram = wire::Encode(packet);
  request.plan = aExchange.plan;
  request.caller =
    FormatEndpoint(aExchange.caller.address(), aExchange.caller.port());
  request.token = aExchange.token;
  request.remainingMs = LeftMs(aExchange.deadline);
  request.urgency = static_cast<std::uint32_t>(aExchange.work.urgency);
  request.size = static_cast<std::uint32_t>(aExchange.work.size);
  return request;
}

static auto BytesOf(const Outcome& aOutcome) -> std::size_t
{
  std::size_t bytes = 0;
  for (const auto& datagram : aOutcome.datagrams) {
    bytes += datagram.size();
  }
  return bytes;
}

auto RecordBytes(const Flow& aFlow) -> std::size_t
{
  std::size_t bytes = aFlow.plan.size() + aFlow.service.size();
  for (const auto& [sequence, outcome] : aFlow.outcomes) {
    bytes += BytesOf(outcome);
  }
  return std::min(bytes, kFlowBytes);
}

/// The record of a request whose answer is too large to go along.
static auto UnknownOutcome(const Flow& aFlow, std::uint32_t aSequence)
  -> std::vector<std::string>
{
  wire::Packet packet;
  packet.type = wire::PacketType::Unknown;
  packet.flow = aFlow.id;
  packet.sequence = aSequence;
  packet.code = static_cast<std::uint32_t>(wire::Reason::FlowForgotten);
  return { wire::Encode(packet) };
}

static auto DescribeOutcomes(const Flow& aFlow)
  -> std::vector<wire::TransferredOutcome>
{
  std::vector<wire::TransferredOutcome> outcomes;
  std::size_t bytes = 0;
  for (const auto& [sequence, outcome] : aFlow.outcomes) {
    bytes += BytesOf(outcome);
    const bool fits = bytes <= kFlowBytes || outcome.datagrams.size() == 1;
    outcomes.push_back(
      { sequence, fits ? outcome.datagrams : UnknownOutcome(aFlow, sequence),
        LeftMs(outcome.keepUntil) });
  }
  return outcomes;
}

static auto StopHere(Exchange& aExchange) -> void
{
  aExchange.frozen = true;
  aExchange.cancelled = true;
  if (aExchange.connection) {
    aExchange.connection->Close();
  }
  if (aExchange.answer) {
    aExchange.answer->Abort();
  }
}

auto Freeze(Flow& aFlow, const wire::Owner& aSelf) -> wire::TransferredFlow
{
  aFlow.frozen = true;
  wire::TransferredFlow handed;
  handed.id = aFlow.id;
  handed.plan = aFlow.plan;
  handed.service = aFlow.service;
  handed.floor = aFlow.floor;
  handed.origins = aFlow.origins;
  handed.origins.push_back(aSelf);
  if (handed.origins.size() > kOriginLimit) {
    handed.origins.erase(handed.origins.begin());
  }
  handed.outcomes = DescribeOutcomes(aFlow);
  for (const auto& [sequence, exchange] : aFlow.active) {
    if (exchange->work.execution == Execution::Repeatable &&
        !exchange->cancelled) {
      handed.requests.push_back(DescribeRequest(*exchange));
    }
    StopHere(*exchange);
  }
  return handed;
}

auto MakeFlow(const Environment& aEnvironment, std::uint64_t aId,
              const std::string& aPlan, const std::string& aService)
  -> std::shared_ptr<Flow>
{
  auto flow = std::make_shared<Flow>();
  flow->id = aId;
  flow->plan = aPlan;
  flow->service = aService;
  flow->lastUsed = Clock::now();
  RenewToken(aEnvironment, *flow);
  return flow;
}

auto RenewToken(const Environment& aEnvironment, Flow& aFlow) -> void
{
  aFlow.token = SignFlow(aEnvironment, aFlow.service, aFlow.id);
  aFlow.keyId = aEnvironment.keys.SigningKeyId();
}

auto CameFrom(const Flow& aFlow, const wire::Owner& aOwner) -> bool
{
  const auto& origins = aFlow.origins;
  return std::find(origins.begin(), origins.end(), aOwner) != origins.end();
}

auto Merge(Flow& aFlow, const wire::TransferredFlow& aHanded) -> void
{
  // A copy of the first packet may have opened the flow here as well.
  aFlow.floor = std::max(aFlow.floor, aHanded.floor);
  aFlow.lastUsed = Clock::now();
  aFlow.origins.insert(aFlow.origins.end(), aHanded.origins.begin(),
                       aHanded.origins.end());
  for (const auto& outcome : aHanded.outcomes) {
    aFlow.outcomes[outcome.sequence] = {
      outcome.datagrams, Clock::now() + Milliseconds(outcome.keepMs)
    };
  }
}

auto Thaw(const wire::TransferredRequest& aRequest) -> std::shared_ptr<Exchange>
{
  std::error_code error;
  auto exchange = std::make_shared<Exchange>();
  exchange->request =
    wire::Decode(aRequest.datagram.data(), aRequest.datagram.size(), error);
  if (!error) {
    exchange->caller = ParseUdpEndpoint(aRequest.caller, error);
  }
  if (error) {
    return nullptr;
  }
  exchange->plan = aRequest.plan;
  exchange->token = aRequest.token;
  exchange->work.execution = Execution::Repeatable;
  exchange->work.urgency = static_cast<lists::Urgency>(aRequest.urgency);
  exchange->work.size = static_cast<lists::SizeClass>(aRequest.size);
  exchange->deadline = Clock::now() + Milliseconds(aRequest.remainingMs);
  return exchange;
}

} // namespace bramleylock::flow
