// Peer links between two hubs over the loopback interface.

#include "bramleylock/Peer/PeerHub.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

/// A hub that records received heartbeats and the senders' incarnations.
struct End
{
  End(asio::io_context& aContext, const std::string& aName)
    : hub(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
          ClusterKey{}, metrics)
    , self{ aName, "north", hub.Address(), 1 }
  {
    hub.On(wire::MessageType::Heartbeat,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             heard.emplace_back(aSender.incarnation, aBody);
           });
    hub.Start(self);
  }

  Metrics metrics;
  PeerHub hub;
  wire::Hello self;
  std::vector<std::pair<std::uint64_t, std::string>> heard;
};

struct Pair
{
  asio::io_context context{ 1 };
  End left{ context, "left" };
  End right{ context, "right" };
};

} // namespace

/// A peer of a newer version may send message types that this one does not
/// know.
Test(PeerHub, MessageOfAnUnknownTypeLeavesTheLinkOpen)
{
  Pair pair;
  const auto to = pair.right.self.address;
  pair.left.hub.Send(to, static_cast<wire::MessageType>(200), "later");
  pair.left.hub.Send(to, wire::MessageType::Heartbeat, "known");
  pair.context.run_for(Milliseconds(300));
  cr_assert(pair.right.heard.size() == 1);
  cr_assert(pair.right.metrics.Get(Counter::PeerTypeUnknown) == 1);
  cr_assert(pair.right.metrics.Get(Counter::PeerFrameMalformed) == 0);
  cr_assert(pair.left.metrics.Get(Counter::PeerLinkOpened) == 1);
}

Test(PeerHub, NewIncarnationIsKnownOnOpenLinks)
{
  Pair pair;
  const auto to = pair.right.self.address;
  pair.left.hub.Send(to, wire::MessageType::Heartbeat, "before");
  pair.context.run_for(Milliseconds(200));
  pair.left.self.incarnation = 9;
  pair.left.hub.Introduce(pair.left.self);
  pair.left.hub.Send(to, wire::MessageType::Heartbeat, "after");
  pair.context.run_for(Milliseconds(200));
  cr_assert(pair.right.heard.size() == 2);
  cr_assert(pair.right.heard[0].first == 1 && pair.right.heard[1].first == 9);
  cr_assert(pair.left.metrics.Get(Counter::PeerLinkOpened) == 1);
}
