// Peer links between two hubs over the loopback interface.

#include "bramleylock/Peer/PeerHub.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

/// A hub that records received heartbeats and the senders' incarnations.
struct TestHub
{
  TestHub(asio::io_context& aContext, const std::string& aName)
    : hub(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
          ClusterKey{}, metrics)
    , self{ aName, "north", hub.Address(), 1 }
  {
    hub.On(wire::MessageType::Heartbeat,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             received.emplace_back(aSender.incarnation, aBody);
           });
    hub.Start(self);
  }

  Metrics metrics;
  PeerHub hub;
  wire::Hello self;
  std::vector<std::pair<std::uint64_t, std::string>> received;
};

struct HubPair
{
  asio::io_context context{ 1 };
  TestHub left{ context, "left" };
  TestHub right{ context, "right" };
};

} // namespace

/// A peer of a newer version may send message types that this one does not
/// know.
Test(PeerHub, MessageOfAnUnknownTypeLeavesTheLinkOpen)
{
  HubPair hubs;
  const auto to = hubs.right.self.address;
  hubs.left.hub.Send(to, static_cast<wire::MessageType>(200), "later");
  hubs.left.hub.Send(to, wire::MessageType::Heartbeat, "known");
  hubs.context.run_for(Milliseconds(300));
  cr_assert(hubs.right.received.size() == 1);
  cr_assert(hubs.right.metrics.Get(Counter::PeerTypeUnknown) == 1);
  cr_assert(hubs.right.metrics.Get(Counter::PeerFrameMalformed) == 0);
  cr_assert(hubs.left.metrics.Get(Counter::PeerLinkOpened) == 1);
}

Test(PeerHub, NewIdentityIsSentOnOpenLinks)
{
  HubPair hubs;
  const auto to = hubs.right.self.address;
  hubs.left.hub.Send(to, wire::MessageType::Heartbeat, "before");
  hubs.context.run_for(Milliseconds(200));
  hubs.left.self.incarnation = 9;
  hubs.left.hub.UpdateIdentity(hubs.left.self);
  hubs.left.hub.Send(to, wire::MessageType::Heartbeat, "after");
  hubs.context.run_for(Milliseconds(200));
  cr_assert(hubs.right.received.size() == 2);
  cr_assert(hubs.right.received[0].first == 1 &&
            hubs.right.received[1].first == 9);
  cr_assert(hubs.left.metrics.Get(Counter::PeerLinkOpened) == 1);
}
