// Routing of packets while their flow is being handed over.

#include "bramleylock/Flow/Dispatcher.h"
#include "unittests/Flow/TestNode.h"

#include "bramleylock/Support/Random.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

/// Time for the balancers to discover each other.
static constexpr Milliseconds kDiscoveryTime{ 2000 };
static constexpr Milliseconds kDeliveryTime{ 200 };
static constexpr std::chrono::seconds kIdleTimeout{ 60 };
static constexpr std::uint64_t kFlowId = 7;

static auto MakeLists() -> std::string
{
  lists::PlanLists lists;
  lists.plans["clubs"].secretHash = Blake2bHex("secret");
  auto& service = lists.services["orders"];
  service.plans = { "clubs" };
  service.works["confirm"] = { lists::Urgency::Urgent, lists::SizeClass::Short,
                               lists::Execution::AtMostOnce, 5000 };
  return lists::FormatLists(lists);
}

static auto MakeConfirmRequest(const std::string& aToken) -> std::string
{
  wire::Packet packet;
  packet.service = "orders";
  packet.credential = "clubs.secret";
  packet.work = "confirm";
  packet.flow = kFlowId;
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

static auto LastTypeSent(const TestNode& aNode) -> wire::PacketType
{
  std::error_code error;
  const auto& datagram = aNode.sent.back();
  return wire::Decode(datagram.data(), datagram.size(), error).type;
}

/// A duplicate of a flow's first packet can open the flow at a second balancer.
/// While the owner is still handing its flows over to that balancer, requests
/// with the owner's token must go to the owner, because the second balancer has
/// no record of what the owner ran.
Test(Dispatcher, DuplicateFlowDoesNotAnswerDuringHandOver)
{
  asio::io_context context(1);
  TestNode owner(context, "a", "north");
  TestNode successor(context, "b", "north");
  Dispatcher dispatcher(successor.environment, kIdleTimeout);
  const auto key = wire::GenerateSigningKey();
  for (auto* node : { &owner, &successor }) {
    node->keys.Add(1, key);
    node->lists.Install(MakeLists());
    node->members.SetCandidates({ { "a", "north", owner.self.address },
                                  { "b", "north", successor.self.address } });
    node->Start();
  }
  dispatcher.Start();
  context.run_for(kDiscoveryTime);
  wire::HandOver batch;
  batch.receiverIncarnation = successor.self.incarnation;
  batch.batch = 1;
  owner.hub.SendMessage(successor.self.address, wire::MessageType::HandOver,
                        batch);
  context.run_for(kDeliveryTime);

  Deliver(dispatcher, MakeConfirmRequest(""));
  cr_assert(LastTypeSent(successor) == wire::PacketType::Opened);
  successor.sent.clear();
  Deliver(dispatcher,
          MakeConfirmRequest(SignFlow(owner.environment, "orders", kFlowId)));
  cr_assert(successor.sent.empty(), "the duplicate flow answered the request");
  cr_assert_eq(successor.metrics.Get(Counter::PacketsForwarded), 1);
}

/// A caller that has not heard from the owner for a while sends its next
/// request without a token. If it reaches a balancer that has a record of the
/// flow from before a key rotation, the token that it gets must be signed with
/// the new key: the other balancers remove the old one.
Test(Dispatcher, FlowOpenedAgainAfterKeyRotationGetsTokenOfTheNewKey)
{
  asio::io_context context(1);
  TestNode node(context, "a", "north");
  Dispatcher dispatcher(node.environment, kIdleTimeout);
  node.keys.Add(1, wire::GenerateSigningKey());
  node.lists.Install(MakeLists());
  Deliver(dispatcher, MakeConfirmRequest(""));
  cr_assert(LastTypeSent(node) == wire::PacketType::Opened);

  node.keys.Add(2, wire::GenerateSigningKey());
  node.keys.SelectSigningKey(2);
  node.keys.Remove(1);
  Deliver(dispatcher, MakeConfirmRequest(""));
  cr_assert(LastTypeSent(node) == wire::PacketType::Opened);
  std::error_code error;
  const auto& datagram = node.sent.back();
  const auto opened = wire::Decode(datagram.data(), datagram.size(), error);
  node.keys.Verify(opened.token, kFlowId, error);
  cr_assert(!error, "%s", error.message().c_str());
}
