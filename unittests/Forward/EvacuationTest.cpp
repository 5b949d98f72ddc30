// Evacuated failure domains: no new flows are opened there, also by balancers
// that start, were partitioned or hear of it from peers only.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

auto TargetIn(const std::string& aId, const std::string& aFailureDomain)
  -> TargetRecord
{
  auto record = MakeTarget(aId, 5);
  record.failureDomain = aFailureDomain;
  return record;
}

auto Evacuate(const std::string& aFailureDomain, const StoreRevision& aRevision)
  -> EvacuationRecord
{
  return { aFailureDomain, true, aRevision, 0 };
}

auto Withdraw(const std::string& aFailureDomain, const StoreRevision& aRevision)
  -> EvacuationRecord
{
  return { aFailureDomain, false, aRevision, 0 };
}

/// Four targets of the service "orders" in each of two failure domains.
auto MakeReading(const StoreRevision& aRevision) -> StateReading
{
  StateReading reading{ aRevision, MakeRoutes(3), {}, {} };
  for (const auto* id : { "a1", "a2", "a3", "a4" }) {
    reading.targets.push_back(TargetIn(id, "here"));
  }
  for (const auto* id : { "b1", "b2", "b3", "b4" }) {
    reading.targets.push_back(TargetIn(id, "there"));
  }
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

  /// Applies a change of the evacuations that a watch returned.
  auto ReadChange(const EvacuationRecord& aRecord) -> RoutingUpdate
  {
    StateReading reading{ aRecord.revision, std::nullopt, {}, {} };
    reading.evacuations.push_back(aRecord);
    return Read(std::move(reading), false);
  }

  /// Returns the failure domains of the targets to which aCount new flows go.
  auto DomainsOfNewFlows(std::uint16_t aCount) -> std::vector<std::string>
  {
    std::vector<std::string> domains;
    for (std::uint16_t flow = 0; flow < aCount; ++flow) {
      sink.toTargets.clear();
      Send(Opening(++port));
      if (!sink.toTargets.empty()) {
        domains.push_back(
          targets.Find(sink.toTargets.back().target)->record.failureDomain);
      }
    }
    return domains;
  }

  auto OpensFlowsIn(const std::string& aFailureDomain) -> bool
  {
    const auto domains = DomainsOfNewFlows(8);
    return std::find(domains.begin(), domains.end(), aFailureDomain) !=
           domains.end();
  }

  RoutingState state;
  std::uint16_t port = 100;
};

} // namespace

// Guards against new flows to an evacuated failure domain, and against lost
// requests on its open flows.
Test(Evacuation, NewFlowsAvoidTheDomainAndOpenFlowsStay)
{
  Node node;
  node.Read(MakeReading(10), true);
  const auto opening = Node::Opening(1);
  node.Send(opening);
  const auto sent = node.sink.toTargets.back();
  cr_assert(node.targets.Find(sent.target)->record.failureDomain == "here");
  node.Send(Node::Following(opening, sent.packet.tag));

  node.ReadChange(Evacuate("here", 11));
  cr_assert(!node.OpensFlowsIn("here"));
  node.sink.toTargets.clear();
  auto request = Node::Following(opening, sent.packet.tag);
  request.carriesData = true;
  node.Send(request);
  cr_assert(node.sink.toTargets.back().target == sent.target);
  cr_assert(node.sink.resets.empty());

  node.ReadChange(Withdraw("here", 12));
  node.AdvanceTime(Milliseconds(2000));
  cr_assert(node.OpensFlowsIn("here"));
}

// Guards against a client's copy that opens the flow in the domain after all.
Test(Evacuation, CopyOfAnUnansweredFirstPacketLeavesTheDomain)
{
  Node node;
  node.Read(MakeReading(10), true);
  auto opening = Node::Opening(1);
  node.Send(opening);
  node.ReadChange(Evacuate("here", 11));
  node.AdvanceTime(Milliseconds(200));
  opening.acknowledgement = 1;
  node.Send(opening);
  const auto& target = node.sink.toTargets.back().target;
  cr_assert(node.targets.Find(target)->record.failureDomain == "there");
}

// Guards against a resent first packet that goes to the domain, though its
// target responds to other flows.
Test(Evacuation, ResentFirstPacketLeavesTheDomain)
{
  Node node;
  node.Read(MakeReading(10), true);
  node.Send(Node::Opening(1));
  auto& target = *node.targets.Find(node.sink.toTargets.back().target);
  target.stats.lastResponseAt = node.now + Milliseconds(1);
  node.ReadChange(Evacuate("here", 11));
  node.sink.toTargets.clear();
  node.AdvanceTime(Milliseconds(1000));
  node.forwarder.ResendUnanswered(node.now);
  cr_assert(!node.sink.toTargets.empty());
  const auto& sentTo = node.sink.toTargets.back().target;
  cr_assert(node.targets.Find(sentTo)->record.failureDomain == "there");
}

// Guards against clients that wait until their deadline for a service whose
// domains are all evacuated.
Test(Evacuation, FirstPacketIsRefusedWhenAllDomainsAreEvacuated)
{
  Node node;
  node.Read(MakeReading(10), true);
  node.ReadChange(Evacuate("here", 11));
  node.ReadChange(Evacuate("there", 12));
  cr_assert(node.DomainsOfNewFlows(3).empty());
  cr_assert(node.sink.resets.size() == 3);
  cr_assert(node.metrics.Get(Counter::FlowRefusedEvacuated) == 3);
  node.ReadChange(Withdraw("there", 13));
  cr_assert(node.DomainsOfNewFlows(3).size() == 3);
}

// Guards against a balancer that starts while the store is not responding and
// does not learn of the evacuation.
Test(Evacuation, StartingBalancerLearnsItFromAPeer)
{
  Node peer;
  peer.Read(MakeReading(10), true);
  peer.ReadChange(Evacuate("here", 11));
  peer.AdvanceTime(Milliseconds(3000));

  Node node;
  node.AdvanceTime(Milliseconds(3000));
  cr_assert(
    node.state.ApplyUpdate(peer.state.CreateUpdate({}, peer.now), node.now));
  cr_assert(!node.OpensFlowsIn("here"));
  const auto inForce = node.targets.Evacuations().InForce(node.now);
  cr_assert(inForce.size() == 1);
  cr_assert(node.now - inForce.front().since == Milliseconds(3000));
}

// Guards against a reader that fails after it has read the evacuation and
// before it has told its peers: the next reader reads from its own revision.
Test(Evacuation, SuccessorOfAFailedReaderTellsThePeers)
{
  Node reader;
  Node successor;
  Node other;
  const auto full = reader.Read(MakeReading(10), true);
  cr_assert(successor.state.ApplyUpdate(full, successor.now));
  cr_assert(other.state.ApplyUpdate(full, other.now));
  reader.ReadChange(Evacuate("here", 11));
  const auto update = successor.ReadChange(Evacuate("here", 11));
  cr_assert(other.state.ApplyUpdate(update, other.now));
  cr_assert(!other.OpensFlowsIn("here"));
}

// Guards against an evacuation that ends for balancers that missed its removal.
Test(Evacuation, BalancerThatWasPartitionedLearnsTheRemoval)
{
  Node node;
  node.Read(MakeReading(10), true);
  node.ReadChange(Evacuate("here", 11));
  Node peer;
  peer.Read(MakeReading(20), true);
  cr_assert(
    node.state.ApplyUpdate(peer.state.CreateUpdate({}, peer.now), node.now));
  cr_assert(node.OpensFlowsIn("here"));
}

// Guards against a peer that returns from a long partition and brings an
// evacuation back that was withdrawn long ago.
Test(Evacuation, EndedEvacuationOfAnOldPeerStaysEnded)
{
  Node oldPeer;
  oldPeer.Read(MakeReading(10), true);
  const auto late = oldPeer.ReadChange(Evacuate("here", 11));
  Node node;
  node.Read(MakeReading(10), true);
  node.ReadChange(Evacuate("here", 11));
  node.ReadChange(Withdraw("here", 12));
  cr_assert(node.state.ApplyUpdate(late, node.now));
  cr_assert(node.OpensFlowsIn("here"));
  node.AdvanceTime(Milliseconds(120000));
  node.forwarder.Expire(node.now);
  cr_assert(node.state.ApplyUpdate(late, node.now));
  cr_assert(node.OpensFlowsIn("here"));
}

// Guards against flows to an evacuated domain between the restore of the store
// from an older copy and the time when the operators' request is written again.
Test(Evacuation, StaysInForceWhileARestoredStoreLacksIt)
{
  Node node;
  node.Read(MakeReading({ 10, 1 }), true);
  node.ReadChange(Evacuate("here", { 50, 1 }));
  node.Read(MakeReading({ 20, 2 }), true);
  cr_assert(!node.OpensFlowsIn("here"));
  // Other balancers read the restored store as well and broadcast what it has.
  Node peer;
  peer.Read(MakeReading({ 20, 2 }), true);
  cr_assert(
    node.state.ApplyUpdate(peer.state.CreateUpdate({}, peer.now), node.now));
  node.Read(MakeReading({ 20, 2 }), true);
  cr_assert(!node.OpensFlowsIn("here"));
  node.ReadChange(Evacuate("here", { 21, 2 }));
  node.AdvanceTime(Milliseconds(10000));
  cr_assert(!node.OpensFlowsIn("here"));

  // A request that is not written again had been withdrawn.
  node.Read(MakeReading({ 30, 3 }), true);
  node.AdvanceTime(Milliseconds(10000));
  cr_assert(node.OpensFlowsIn("here"));
}

// Guards against an evacuation that a removal brings back into force: it had
// ended because a restored store lacked it.
Test(Evacuation, RemovalAfterItsEndChangesNothing)
{
  Node node;
  node.Read(MakeReading({ 10, 1 }), true);
  node.ReadChange(Evacuate("here", { 50, 1 }));
  node.Read(MakeReading({ 20, 2 }), true);
  node.AdvanceTime(Milliseconds(10000));
  node.ReadChange(Withdraw("here", { 30, 2 }));
  cr_assert(node.targets.Evacuations().InForce(node.now).empty());
  // The removal is kept for as long as a late message may arrive.
  node.forwarder.Expire(node.now);
  cr_assert(node.targets.Evacuations().Contains("here"));
}

// Guards against evacuations that are missed because a balancer of a build
// without them read the store: the next reading here is a full one.
Test(Evacuation, UpdateOfAnOlderBuildLeavesTheEvacuationsUnknown)
{
  Node node;
  node.Read(MakeReading(10), true);
  cr_assert(node.state.ListsEvacuations());
  Node older;
  older.Read(MakeReading(10), true);
  auto update = older.ReadChange(Evacuate("here", 11));
  update.listsEvacuations = false;
  update.evacuations.clear();
  cr_assert(node.state.ApplyUpdate(update, node.now));
  cr_assert(!node.state.ListsEvacuations());
  cr_assert(!node.state.CreateUpdate({}, node.now).listsEvacuations);
  auto reading = MakeReading(11);
  reading.evacuations.push_back(Evacuate("here", 11));
  node.Read(reading, true);
  cr_assert(node.state.ListsEvacuations());
  cr_assert(!node.OpensFlowsIn("here"));
}

// Guards against an end of the evacuation by a peer of a build that does not
// know evacuations.
Test(Evacuation, FullUpdateOfAnOlderBuildEndsNothing)
{
  Node node;
  node.Read(MakeReading(10), true);
  node.ReadChange(Evacuate("here", 11));
  Node peer;
  peer.Read(MakeReading(20), true);
  auto update = peer.state.CreateUpdate({}, peer.now);
  update.listsEvacuations = false;
  cr_assert(node.state.ApplyUpdate(update, node.now));
  cr_assert(!node.OpensFlowsIn("here"));
}
