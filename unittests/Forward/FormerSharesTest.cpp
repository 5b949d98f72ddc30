// Services that earlier versions of the routes allowed: balancers that start
// later forward the packets of open flows there. Also the differences between
// versions of the routes.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RouteSetChange.h"
#include "bramleylock/Forward/RoutingState.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A version in which the route "orders" also allows the service "proofs", if
/// aSplit is set.
auto MakeVersion(std::uint64_t aVersion, bool aSplit) -> RouteSet
{
  auto routes = MakeRoutes(aVersion);
  if (aSplit) {
    routes.routes.front().shares.push_back({ "proofs", 3 });
  }
  return routes;
}

auto MakeReading(std::uint64_t aRevision, const RouteSet& aRoutes)
  -> StateReading
{
  StateReading reading{ aRevision, aRoutes, {}, {} };
  reading.targets = { MakeTarget("a", 5), MakeTarget("p", 6, "proofs") };
  return reading;
}

struct Node : TestForward
{
  Node()
    : TestForward(false)
    , state(routes, targets, metrics)
  {
  }

  auto Read(StateReading aReading, bool aFull) -> RoutingUpdate
  {
    return state.ApplyReading(std::move(aReading), aFull, false, now, now);
  }

  /// Reads version 6, which splits the route, and version 9, which ends that.
  auto ReadSplitAndItsEnd() -> RoutingUpdate
  {
    Read(MakeReading(10, MakeVersion(6, true)), true);
    return Read({ 11, MakeVersion(9, false), {}, {} }, false);
  }

  /// Sends a packet of a flow that another balancer opened to aTarget, and
  /// returns whether it is forwarded there.
  auto ForwardsOpenFlow(const std::string& aTarget) -> bool
  {
    sink.toTargets.clear();
    auto packet = Following(Opening(++port), ComputeTag(aTarget, 1));
    packet.carriesData = true;
    Send(packet);
    return !sink.toTargets.empty() && sink.toTargets.back().target == aTarget;
  }

  RoutingState state;
  std::uint16_t port = 100;
};

} // namespace

// Guards against dropped packets of open flows at a balancer that starts after
// the version that took their service off the route.
Test(FormerShares, BalancerThatStartsLaterLearnsThemFromAPeer)
{
  Node peer;
  peer.ReadSplitAndItsEnd();
  Node node;
  cr_assert(
    node.state.ApplyUpdate(peer.state.CreateUpdate({}, peer.now), node.now));
  cr_assert(node.ForwardsOpenFlow("p"));
  cr_assert(node.metrics.Get(Counter::PacketTagUnknown) == 0);
}

// Guards against new flows to a service that only earlier versions allowed.
Test(FormerShares, NewFlowsUseTheVersionInForce)
{
  Node node;
  node.ReadSplitAndItsEnd();
  for (std::uint16_t port = 1; port <= 4; ++port) {
    node.Send(Node::Opening(port));
    cr_assert(node.sink.toTargets.back().target == "a");
  }
}

// Guards against packets to a service that no version of the route allowed.
Test(FormerShares, ServiceThatWasNeverAllowedGetsNothing)
{
  Node node;
  node.Read(MakeReading(10, MakeVersion(6, false)), true);
  cr_assert(!node.ForwardsOpenFlow("p"));
}

// Guards against dropped packets after the loss of all balancers, when no peer
// remembers: the record in the store lists the services.
Test(FormerShares, RecordInTheStoreReplacesLostPeers)
{
  Node reader;
  reader.ReadSplitAndItsEnd();
  const auto record = reader.state.SharesToRecord();
  cr_assert(record && record->size() == 2);
  Node node;
  auto reading = MakeReading(12, MakeVersion(9, false));
  reading.formerShares = record;
  const auto update = node.Read(reading, true);
  cr_assert(node.ForwardsOpenFlow("p"));
  cr_assert(!node.state.SharesToRecord());
  // A peer that has the routes already hears of them as well.
  Node other;
  other.Read(MakeReading(12, MakeVersion(9, false)), true);
  cr_assert(other.state.ApplyUpdate(update, other.now));
  cr_assert(other.ForwardsOpenFlow("p"));
}

// Guards against writes to the store in deployments whose routes have one
// service each.
Test(FormerShares, NothingIsRecordedForRoutesWithOneService)
{
  Node node;
  node.Read(MakeReading(10, MakeVersion(6, false)), true);
  node.Read({ 11, MakeVersion(7, false), {}, {} }, false);
  cr_assert(!node.state.SharesToRecord());
}

// Guards against a record that a store restored from an older copy has lost.
Test(FormerShares, RecordIsRepeatedAfterARestore)
{
  Node node;
  auto reading = MakeReading(10, MakeVersion(6, true));
  node.Read(reading, true);
  reading.formerShares = node.state.SharesToRecord();
  reading.revision = 12;
  node.Read(reading, true);
  cr_assert(!node.state.SharesToRecord());
  reading.formerShares.reset();
  reading.revision = { 5, 2 };
  node.Read(reading, true);
  cr_assert(node.state.SharesToRecord());
}

// Guards against services that stay allowed for longer than any flow lasts.
Test(FormerShares, ExpireWithTheLongestFlow)
{
  Node node;
  node.ReadSplitAndItsEnd();
  node.AdvanceTime(Milliseconds(62000));
  node.routes.Expire(std::chrono::seconds(61), node.now);
  cr_assert(node.routes.FormerShares(node.now).empty());
  cr_assert(!node.ForwardsOpenFlow("p"));
}

// Guards against an end that moves to a later time whenever a peer is told.
Test(FormerShares, AgeTravelsWithThem)
{
  Node peer;
  peer.ReadSplitAndItsEnd();
  peer.AdvanceTime(Milliseconds(50000));
  Node node;
  node.now = peer.now;
  node.state.ApplyUpdate(peer.state.CreateUpdate({}, peer.now), node.now);
  node.AdvanceTime(Milliseconds(12000));
  node.routes.Expire(std::chrono::seconds(61), node.now);
  cr_assert(node.routes.FormerShares(node.now).empty());
}

// Guards against messages that grow with a long history of versions.
Test(FormerShares, NumberSentIsBounded)
{
  RouteTable table;
  const Clock::time_point now{ std::chrono::hours(1) };
  for (std::uint64_t version = 1; version <= 5; ++version) {
    RouteSet routes{ version, version, 15000, {}, {} };
    for (std::uint32_t ip = 1; ip <= 2000; ++ip) {
      routes.routes.push_back(
        { "r", ip, 443, { { "s" + std::to_string(version), 1 } }, 0, 0, 0 });
    }
    table.Install(routes, now + std::chrono::seconds(version));
  }
  const auto shares = table.FormerShares(now + std::chrono::seconds(6));
  cr_assert(shares.size() == kMaxFormerShares);
  cr_assert(table.SharesToRecord().size() == kMaxFormerShares);
  for (const auto& share : shares) {
    cr_assert(share.ageMs <= 3000, "the latest are kept");
  }
}

static auto MakeManyRoutes(std::uint64_t aVersion, std::uint32_t aFirst)
  -> RouteSet
{
  auto routes = MakeRoutes(aVersion);
  for (std::uint32_t ip = aFirst; ip < aFirst + 100; ++ip) {
    routes.routes.push_back({ "r", ip, 443, { { "orders", 1 } }, 0, 2, 0 });
  }
  return routes;
}

// Guards against whole versions of many routes on slow links, before which the
// changes of targets wait.
Test(RouteSetChange, SmallChangeTravelsInsteadOfAllRoutes)
{
  Node reader;
  Node peer;
  const auto full = reader.Read(MakeReading(10, MakeManyRoutes(6, 1)), true);
  cr_assert(peer.state.ApplyUpdate(full, peer.now));
  auto routes = MakeManyRoutes(7, 2);
  routes.routes[5].shares = { { "proofs", 1 } };
  routes.idleTimeoutMs = 9000;
  const auto update = reader.Read({ 11, routes, {}, {} }, false);
  cr_assert(update.routes.empty() && update.routeChanges.size() == 1);
  cr_assert(update.routeChanges.front().routes.size() == 2);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  const auto& current = peer.routes.Current();
  cr_assert(current.version == 7 && current.idleTimeoutMs == 9000);
  cr_assert(current.routes.size() == routes.routes.size());
  cr_assert(peer.routes.Find({ 1, 443 }) == nullptr);
  cr_assert(peer.routes.Find({ 101, 443 }) != nullptr);
  const auto& changed = routes.routes[5];
  cr_assert(*peer.routes.Find(changed.EndpointAddress()) == changed);
}

// Guards against a change that is applied to another version than its base.
Test(RouteSetChange, PeerWithAnotherVersionRequestsTheRoutes)
{
  Node reader;
  Node peer;
  const auto full = reader.Read(MakeReading(10, MakeManyRoutes(6, 1)), true);
  cr_assert(peer.state.ApplyUpdate(full, peer.now));
  reader.Read({ 11, MakeManyRoutes(7, 2), {}, {} }, false);
  const auto update = reader.Read({ 12, MakeManyRoutes(8, 3), {}, {} }, false);
  cr_assert(!peer.state.ApplyUpdate(update, peer.now));
  cr_assert(peer.routes.Current().version == 6);
  const auto answer =
    reader.state.CreateUpdate({ peer.state.Revision(), 6 }, reader.now);
  cr_assert(peer.state.ApplyUpdate(answer, peer.now));
  cr_assert(peer.routes.Current().version == 8);
}

// Guards against a change that takes as much as the routes themselves.
Test(RouteSetChange, LargeChangeIsSentAsAWhole)
{
  cr_assert(!DifferenceOf(MakeManyRoutes(6, 1), MakeManyRoutes(7, 90)));
  cr_assert(!DifferenceOf(RouteSet(), MakeManyRoutes(7, 1)));
}
