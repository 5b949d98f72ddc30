// Conversion of flows to and from the records of a hand-over.

#include "bramleylock/Flow/FlowRecord.h"

#include <algorithm>

namespace bramleylock::flow {

using lists::Execution;

/// Limit on the recorded answers of at-most-once requests in one flow's record.
static constexpr std::size_t kMaxOutcomeBytes = 512U << 10;
static constexpr std::size_t kMaxPreviousOwners = 8;

/// Whether a request must finish at this owner: it may have run, and no other
/// balancer could determine its outcome.
static auto MustFinishHere(const Flow& aFlow, const Exchange& aExchange) -> bool
{
  return aExchange.work.execution == Execution::AtMostOnce &&
         !aFlow.outcomes.contains(aExchange.request.sequence);
}

auto HasBlockingRequests(const Flow& aFlow, bool aIgnoreShortWork) -> bool
{
  return std::any_of(aFlow.activeRequests.begin(), aFlow.activeRequests.end(),
                     [&](const auto& aEntry) {
                       const auto& exchange = *aEntry.second;
                       return MustFinishHere(aFlow, exchange) ||
                              (!aIgnoreShortWork &&
                               exchange.work.size == lists::SizeClass::Short);
                     });
}

static auto RemainingMs(Clock::time_point aUntil) -> std::uint32_t
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(aUntil - Clock::now());
  return static_cast<std::uint32_t>(
    std::max<std::int64_t>(1, remaining.count()));
}

static auto MakeRequestRecord(const Exchange& aExchange)
  -> wire::TransferredRequest
{
  auto packet = aExchange.request;
  packet.credential.clear();
  packet.token.clear();
  if (aExchange.answer) {
    packet.part = aExchange.answer->FirstUnacknowledged();
    packet.answerTag = aExchange.answer->Tag();
  }
  wire::TransferredRequest request;
  request.datagram = wire::Encode(packet);
  request.plan = aExchange.plan;
  request.caller =
    FormatEndpoint(aExchange.caller.address(), aExchange.caller.port());
  request.token = aExchange.token;
  request.remainingMs = RemainingMs(aExchange.deadline);
  request.urgency = static_cast<std::uint32_t>(aExchange.work.urgency);
  request.size = static_cast<std::uint32_t>(aExchange.work.size);
  return request;
}

static auto OutcomeBytes(const Outcome& aOutcome) -> std::size_t
{
  std::size_t bytes = 0;
  for (const auto& datagram : aOutcome.datagrams) {
    bytes += datagram.size();
  }
  return bytes;
}

auto EstimateRecordBytes(const Flow& aFlow) -> std::size_t
{
  std::size_t bytes = aFlow.plan.size() + aFlow.service.size();
  for (const auto& [sequence, outcome] : aFlow.outcomes) {
    bytes += OutcomeBytes(outcome);
  }
  return std::min(bytes, kMaxOutcomeBytes);
}

/// The outcome handed over for a request whose answer exceeds the size limit.
static auto EncodeUnknownOutcome(const Flow& aFlow, std::uint32_t aSequence)
  -> std::vector<std::string>
{
  wire::Packet packet;
  packet.type = wire::PacketType::Unknown;
  packet.flow = aFlow.id;
  packet.sequence = aSequence;
  packet.code = static_cast<std::uint32_t>(wire::Reason::FlowForgotten);
  return { wire::Encode(packet) };
}

static auto MakeOutcomeRecords(const Flow& aFlow)
  -> std::vector<wire::TransferredOutcome>
{
  std::vector<wire::TransferredOutcome> outcomes;
  std::size_t bytes = 0;
  for (const auto& [sequence, outcome] : aFlow.outcomes) {
    bytes += OutcomeBytes(outcome);
    const bool fits =
      bytes <= kMaxOutcomeBytes || outcome.datagrams.size() == 1;
    outcomes.push_back(
      { sequence,
        fits ? outcome.datagrams : EncodeUnknownOutcome(aFlow, sequence),
        RemainingMs(outcome.expiresAt) });
  }
  return outcomes;
}

static auto StopRequest(Exchange& aExchange) -> void
{
  aExchange.handedOver = true;
  aExchange.cancelled = true;
  if (aExchange.connection) {
    aExchange.connection->Close();
  }
  if (aExchange.answer) {
    aExchange.answer->Abort();
  }
}

auto StopFlowForHandOver(Flow& aFlow, const wire::Owner& aSelf)
  -> wire::TransferredFlow
{
  aFlow.holdsRequests = true;
  wire::TransferredFlow record;
  record.id = aFlow.id;
  record.plan = aFlow.plan;
  record.service = aFlow.service;
  record.floor = aFlow.sequenceFloor;
  record.origins = aFlow.previousOwners;
  record.origins.push_back(aSelf);
  if (record.origins.size() > kMaxPreviousOwners) {
    record.origins.erase(record.origins.begin());
  }
  record.outcomes = MakeOutcomeRecords(aFlow);
  for (const auto& [sequence, exchange] : aFlow.activeRequests) {
    if (exchange->work.execution == Execution::Repeatable &&
        !exchange->cancelled) {
      record.requests.push_back(MakeRequestRecord(*exchange));
    }
    StopRequest(*exchange);
  }
  return record;
}

/// Gives aFlow a token that names this balancer and is signed with the current
/// signing key.
static auto RenewToken(const Environment& aEnvironment, Flow& aFlow) -> void
{
  aFlow.token = SignFlow(aEnvironment, aFlow.service, aFlow.id);
  aFlow.keyId = aEnvironment.keys.SigningKeyId();
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

auto RenewOutdatedToken(const Environment& aEnvironment, Flow& aFlow) -> void
{
  if (aFlow.keyId != aEnvironment.keys.SigningKeyId()) {
    RenewToken(aEnvironment, aFlow);
  }
}

auto WasHandedOverFrom(const Flow& aFlow, const wire::Owner& aOwner) -> bool
{
  const auto& previousOwners = aFlow.previousOwners;
  return std::find(previousOwners.begin(), previousOwners.end(), aOwner) !=
         previousOwners.end();
}

auto MergeRecord(Flow& aFlow, const wire::TransferredFlow& aRecord) -> void
{
  // The flow may exist here already, because a duplicate of its first packet
  // can open it at a second balancer.
  aFlow.sequenceFloor = std::max(aFlow.sequenceFloor, aRecord.floor);
  aFlow.lastUsed = Clock::now();
  aFlow.previousOwners.insert(aFlow.previousOwners.end(),
                              aRecord.origins.begin(), aRecord.origins.end());
  for (const auto& outcome : aRecord.outcomes) {
    aFlow.outcomes[outcome.sequence] = {
      outcome.datagrams, Clock::now() + Milliseconds(outcome.keepMs)
    };
  }
}

auto RestoreRequest(const wire::TransferredRequest& aRequest)
  -> std::shared_ptr<Exchange>
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
