// Expiry of flows, and the records in which they are handed over.

#include "bramleylock/Flow/FlowRecord.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

static auto MakeFlow(std::uint64_t aId, std::chrono::seconds aIdleTime)
  -> std::shared_ptr<flow::Flow>
{
  auto flow = std::make_shared<flow::Flow>();
  flow->id = aId;
  flow->lastUsed = Clock::now() - aIdleTime;
  return flow;
}

Test(FlowTable, ExpiresOnlyIdleFlows)
{
  FlowTable table;
  table.Add(MakeFlow(1, std::chrono::seconds(100)));
  table.Add(MakeFlow(2, std::chrono::seconds(0)));
  cr_assert(table.Expire(std::chrono::seconds(60)) == 1);
  cr_assert(!table.Find(1));
  cr_assert(table.Find(2));
}

Test(FlowTable, ExpiredOutcomesRaiseSequenceFloor)
{
  FlowTable table;
  const auto flow = MakeFlow(1, std::chrono::seconds(0));
  flow->outcomes[4].expiresAt = Clock::now() - std::chrono::seconds(1);
  flow->outcomes[7].expiresAt = Clock::now() + std::chrono::seconds(60);
  table.Add(flow);
  table.Expire(std::chrono::seconds(60));
  cr_assert(flow->sequenceFloor == 4);
  cr_assert(flow->outcomes.size() == 1);
}

static auto AddExchange(flow::Flow& aFlow, std::uint32_t aSequence,
                        lists::Execution aExecution)
  -> std::shared_ptr<Exchange>
{
  auto exchange = std::make_shared<Exchange>();
  exchange->request.sequence = aSequence;
  exchange->request.credential = "plan.secret";
  exchange->work.execution = aExecution;
  exchange->deadline = Clock::now() + std::chrono::seconds(5);
  aFlow.activeRequests[aSequence] = exchange;
  return exchange;
}

Test(HandOver, HandsOverOnlyRepeatableRequests)
{
  const auto flow = MakeFlow(9, std::chrono::seconds(0));
  flow->outcomes[3].datagrams = { "answer" };
  AddExchange(*flow, 3, lists::Execution::AtMostOnce);
  const auto repeatable = AddExchange(*flow, 4, lists::Execution::Repeatable);
  const auto record = StopFlowForHandOver(*flow, { "127.0.0.1:1", 5 });
  cr_assert(record.requests.size() == 1);
  cr_assert(record.outcomes.size() == 1);
  cr_assert(record.outcomes[0].datagrams[0] == "answer");
  cr_assert(record.origins.size() == 1);
  // The old owner sends no more packets for the request.
  cr_assert(repeatable->handedOver && repeatable->cancelled);
  std::error_code error;
  const auto& datagram = record.requests[0].datagram;
  const auto packet = wire::Decode(datagram.data(), datagram.size(), error);
  cr_assert(!error && packet.sequence == 4 && packet.credential.empty());
}

Test(HandOver, LargeAnswersAreHandedOverAsUnknown)
{
  const auto flow = MakeFlow(9, std::chrono::seconds(0));
  flow->outcomes[1].datagrams =
    std::vector<std::string>(1000, std::string(1000, 'x'));
  const auto record = StopFlowForHandOver(*flow, { "127.0.0.1:1", 5 });
  std::error_code error;
  const auto& datagrams = record.outcomes[0].datagrams;
  cr_assert(datagrams.size() == 1);
  const auto packet =
    wire::Decode(datagrams[0].data(), datagrams[0].size(), error);
  cr_assert(!error && packet.type == wire::PacketType::Unknown);
}
