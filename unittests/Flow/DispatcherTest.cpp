// Which balancer decides about a packet while flows move.

#include "bramleylock/Flow/Dispatcher.h"
#include "unittests/Flow/TestNode.h"

#include "bramleylock/Support/Random.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

/// Until balancers know each other.
static constexpr Milliseconds kSettled{ 2000 };
static constexpr Milliseconds kDelivered{ 200 };
static constexpr std::chrono::seconds kIdleFlow{ 60 };
static constexpr std::uint64_t kFlow = 7;

static auto Lists() -> std::string
{
  lists::PlanLists lists;
  lists.plans["clubs"].secretHash = HashHex("secret");
  auto& service = lists.services["orders"];
  service.plans = { "clubs" };
  service.works["confirm"] = { lists::Urgency::Urgent, lists::SizeClass::Short,
                               lists::Execution::AtMostOnce, 5000 };
  return lists::FormatLists(lists);
}

static auto Confirmation(const std::string& aToken) -> std::string
{
  wire::Packet packet;
  packet.service = "orders";
  packet.credential = "clubs.secret";
  packet.work = "confirm";
  packet.flow = kFlow;
  packet.sequence = 1;
  packet.deadlineMs = 5000;
  packet.token = aToken;
  return wire::Encode(packet);
}

static auto Deliver(Dispatcher& aDispatcher, const std::string& aDatagram)
  -> void
{
  const Udp::endpoint caller(asio::ip::make_address("127.0.0.1"), 9);
  aDispatcher.OnDatagram(aDatagram.data(), aDatagram.size(), caller);
}

static auto LastTypeSent(const Node& aNode) -> wire::PacketType
{
  std::error_code error;
  const auto& datagram = aNode.sent.back();
  return wire::Decode(datagram.data(), datagram.size(), error).type;
}

/// The first packet of a flow may come twice and open it at two balancers.
Test(Dispatcher, ACopyOfAFlowDoesNotAnswerForItsOwnerThatIsStillHandingOver)
{
  asio::io_context context(1);
  Node owner(context, "a", "north");
  Node heir(context, "b", "north");
  Dispatcher dispatcher(heir.environment, kIdleFlow);
  const auto key = wire::GenerateSigningKey();
  for (auto* node : { &owner, &heir }) {
    node->keys.Add(1, key);
    node->lists.Install(Lists());
    node->members.SetCandidates({ { "a", "north", owner.self.address },
                                  { "b", "north", heir.self.address } });
    node->Start();
  }
  dispatcher.Start();
  context.run_for(kSettled);
  wire::HandOver batch;
  batch.receiverIncarnation = heir.self.incarnation;
  batch.batch = 1;
  owner.hub.SendMessage(heir.self.address, wire::MessageType::HandOver, batch);
  context.run_for(kDelivered);

  Deliver(dispatcher, Confirmation(""));
  cr_assert(LastTypeSent(heir) == wire::PacketType::Opened);
  heir.sent.clear();
  Deliver(dispatcher,
          Confirmation(SignFlow(owner.environment, "orders", kFlow)));
  cr_assert(heir.sent.empty(), "the copy answered");
  cr_assert_eq(heir.metrics.Get(Counter::PacketsForwarded), 1);
}
