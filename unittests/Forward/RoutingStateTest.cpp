// Tests of applying store readings and peer updates that may be lost, late or
// out of order.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

struct Node
{
  Node()
    : targets(codec)
    , state(routes, targets, metrics)
  {
  }

  /// Applies a reading of the store and returns the update for the peers.
  auto ApplyReading(StateReading aReading, bool aFull,
                    bool aStoreFailedRecently = false) -> RoutingUpdate
  {
    return state.ApplyReading(std::move(aReading), aFull, aStoreFailedRecently,
                              now, now);
  }

  auto CandidateCount() -> std::size_t
  {
    return targets.Candidates("orders", now).size();
  }

  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets;
  RoutingState state;
};

} // namespace

static auto FullReading(std::uint64_t aRevision,
                        std::vector<TargetRecord> aTargets) -> StateReading
{
  return { aRevision, MakeRoutes(3), std::move(aTargets), {} };
}

Test(RoutingState, CompleteAfterTheFirstReading)
{
  Node node;
  cr_assert(!node.state.IsComplete());
  node.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  cr_assert(node.state.IsComplete());
  cr_assert(node.CandidateCount() == 1);
  cr_assert(node.metrics.Summary(Latency::StateInForce).count == 1);
}

Test(RoutingState, OlderRoutesAreNeverInstalled)
{
  Node node;
  node.ApplyReading(FullReading(9, {}), true);
  StateReading older{ 12, MakeRoutes(2), {}, {} };
  node.ApplyReading(older, false);
  cr_assert(node.routes.Current().version == 3);
  cr_assert(node.metrics.Get(Counter::RoutesOlder) == 1);
}

Test(RoutingState, FullReadingRemovesMissingTargets)
{
  Node node;
  node.ApplyReading(FullReading(9, { MakeTarget("a", 5), MakeTarget("b", 6) }),
                    true);
  node.ApplyReading(FullReading(20, { MakeTarget("b", 6) }), true);
  cr_assert(node.CandidateCount() == 1);
  cr_assert(node.targets.Find("a")->record.State() == TargetState::Departed);
}

Test(RoutingState, FullReadingKeepsNewerTargets)
{
  Node node;
  node.ApplyReading(FullReading(9, {}), true);
  // Changes arrived before the pages of an older full reading.
  node.ApplyReading({ 30, std::nullopt, { MakeTarget("c", 30) }, {} }, false);
  node.ApplyReading(FullReading(20, {}), true);
  cr_assert(node.CandidateCount() == 1);
}

Test(RoutingState, EntriesExpiredInAnOutageAreUsedUntilTheyReturn)
{
  Node node;
  node.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  node.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false,
                    true);
  cr_assert(node.CandidateCount() == 1);
  node.now += Milliseconds(1900);
  node.ApplyReading({ 14, std::nullopt, { MakeTarget("a", 14) }, {} }, false,
                    true);
  node.now += Milliseconds(60000);
  cr_assert(node.CandidateCount() == 1);
}

Test(RoutingState, EntriesThatDoNotReturnAfterAnOutageAreRemoved)
{
  Node node;
  node.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  node.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false,
                    true);
  node.now += Milliseconds(2600);
  cr_assert(node.CandidateCount() == 0);
}

static auto DrainingTarget(const std::string& aId, std::uint64_t aRevision)
  -> TargetRecord
{
  auto record = MakeTarget(aId, aRevision);
  record.state = static_cast<std::uint8_t>(TargetState::Draining);
  return record;
}

/// A reader that saw a change on a later page of its first reading left it out
/// of its update, so that peers kept opening flows at a draining target.
Test(RoutingState, ChangeFromALaterPageOfTheFirstReadingReachesThePeers)
{
  Node reader;
  Node peer;
  // The revision is that of the first page.
  reader.ApplyReading(FullReading(9, { DrainingTarget("a", 12) }), true);
  peer.ApplyReading(FullReading(10, { MakeTarget("a", 5) }), true);
  const auto update = reader.ApplyReading(
    { 13, std::nullopt, { DrainingTarget("a", 12) }, {} }, false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  cr_assert_eq(peer.CandidateCount(), 0);
}

/// The same for an entry that was removed before the page was read.
Test(RoutingState, RemovalBeforeALaterPageOfTheFirstReadingReachesThePeers)
{
  Node reader;
  Node peer;
  reader.ApplyReading(FullReading(9, { MakeTarget("b", 6) }), true);
  peer.ApplyReading(FullReading(10, { MakeTarget("a", 5), MakeTarget("b", 6) }),
                    true);
  const auto update = reader.ApplyReading(
    { 13, std::nullopt, {}, { { "a", 12, false } } }, false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  cr_assert_eq(peer.CandidateCount(), 1);
}

/// An entry that expired and was listed again within one reading was passed to
/// the peers as removed only, so that they stopped using the target.
Test(RoutingState, EntryListedAgainWithinOneReadingStaysInUseAtThePeers)
{
  Node reader;
  Node peer;
  for (auto* node : { &reader, &peer }) {
    node->ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  }
  const auto update = reader.ApplyReading(
    { 13, std::nullopt, { MakeTarget("a", 12) }, { { "a", 10, true } } },
    false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  for (auto* node : { &reader, &peer }) {
    node->now += Milliseconds(60000);
    cr_assert_eq(node->CandidateCount(), 1);
  }
}

/// The same at a peer that read the store between the two changes and knows the
/// removal.
Test(RoutingState, EntryListedAgainWithinOneReadingReturnsAtThePeers)
{
  Node reader;
  Node peer;
  for (auto* node : { &reader, &peer }) {
    node->ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  }
  peer.ApplyReading(FullReading(11, {}), true);
  cr_assert_eq(peer.CandidateCount(), 0);
  const auto update = reader.ApplyReading(
    { 13, std::nullopt, { MakeTarget("a", 12) }, { { "a", 10, true } } },
    false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  cr_assert_eq(peer.CandidateCount(), 1);
}

/// The same for a change from a peer's update that does not continue the state
/// of the reader: its records are taken, its revision is not.
Test(RoutingState, ChangeFromAnUpdateThatIsNotAcceptedReachesThePeers)
{
  Node ahead;
  Node reader;
  Node peer;
  ahead.ApplyReading(FullReading(11, { MakeTarget("a", 5) }), true);
  for (auto* node : { &reader, &peer }) {
    node->ApplyReading(FullReading(10, { MakeTarget("a", 5) }), true);
  }
  const auto unaccepted = ahead.ApplyReading(
    { 12, std::nullopt, { DrainingTarget("a", 12) }, {} }, false);
  cr_assert(!reader.state.ApplyUpdate(unaccepted, reader.now));
  const auto update = reader.ApplyReading(
    { 13, std::nullopt, { DrainingTarget("a", 12) }, {} }, false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  cr_assert_eq(peer.CandidateCount(), 0);
}

Test(RoutingState, PeerUpdateIsApplied)
{
  Node reader;
  Node other;
  other.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  reader.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  const auto update = reader.ApplyReading(
    { 12, std::nullopt, { MakeTarget("b", 12) }, {} }, false);
  cr_assert(other.state.ApplyUpdate(update, other.now));
  cr_assert(other.CandidateCount() == 2);
  cr_assert(other.state.Revision() == 12);
}

Test(RoutingState, MissedUpdateIsDetected)
{
  Node reader;
  Node other;
  other.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  reader.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  reader.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  const auto later = reader.ApplyReading(
    { 14, std::nullopt, { MakeTarget("b", 14) }, {} }, false);
  // The update for revision 12 was lost.
  cr_assert(!other.state.ApplyUpdate(later, other.now));
  const auto all =
    reader.state.CreateUpdate({ other.state.Revision(), 0 }, reader.now);
  cr_assert(other.state.ApplyUpdate(all, other.now));
  cr_assert(other.CandidateCount() == 1);
  cr_assert(other.targets.Find("a")->record.State() == TargetState::Departed);
}

/// An update contains only the missing changes, so that it takes some hundred
/// bytes even with thousands of targets.
Test(RoutingState, UpdateContainsOnlyMissingChanges)
{
  Node reader;
  reader.ApplyReading(
    FullReading(9, { MakeTarget("a", 5), MakeTarget("b", 6) }), true);
  reader.ApplyReading({ 12, std::nullopt, { MakeTarget("c", 12) }, {} }, false);
  const auto version = reader.state.RoutesVersion();
  const auto update = reader.state.CreateUpdate({ 9, version }, reader.now);
  cr_assert(update.baseRevision == 9 && update.revision == 12);
  cr_assert(update.routes.empty());
  cr_assert(update.targets.size() == 1 && update.targets.front().id == "c");
}

/// A peer that started after a target was removed does not know of the removal,
/// so it has to send its full state.
Test(RoutingState, PeerThatStartedLaterSendsFullState)
{
  Node requester;
  Node later;
  requester.ApplyReading(
    FullReading(9, { MakeTarget("a", 5), MakeTarget("b", 6) }), true);
  later.ApplyReading(FullReading(14, { MakeTarget("b", 6) }), true);
  const auto update = later.state.CreateUpdate({ 9, 3 }, later.now);
  cr_assert(update.baseRevision == 0 && update.targets.size() == 1);
  cr_assert(requester.state.ApplyUpdate(update, requester.now));
  cr_assert(requester.CandidateCount() == 1);
  // It can report the changes since its own start incrementally.
  later.ApplyReading({ 20, std::nullopt, {}, { { "b", 20, false } } }, false);
  cr_assert(later.state.CreateUpdate({ 14, 3 }, later.now).baseRevision == 14);
}

Test(RoutingState, UpdateWithoutItsNewerRoutesIsIncomplete)
{
  Node reader;
  Node other;
  other.ApplyReading(FullReading(9, {}), true);
  reader.ApplyReading(FullReading(9, {}), true);
  reader.ApplyReading({ 12, MakeRoutes(7), {}, {} }, false);
  auto update = reader.state.CreateUpdate({ 9, 0 }, reader.now);
  update.routes.clear();
  cr_assert(!other.state.ApplyUpdate(update, other.now));
  cr_assert(other.routes.Current().version == 3);
}

Test(RoutingState, NewBalancerReceivesDepartedTargets)
{
  Node reader;
  Node fresh;
  reader.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  reader.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  fresh.state.ApplyUpdate(reader.state.CreateUpdate({ 0, 0 }, reader.now),
                          fresh.now);
  auto* target =
    fresh.targets.Lookup(ComputeTag("a", 1), kOrdersAddress, fresh.routes);
  cr_assert(target != nullptr);
  cr_assert(target->record.State() == TargetState::Departed);
}

/// A peer that was partitioned for minutes still lists a target that was
/// removed here so long ago that the removal record has been discarded. Its
/// update must not add the target again.
Test(RoutingState, PartitionedPeerDoesNotRestoreRemovedTarget)
{
  Node node;
  Node partitioned;
  for (auto* each : { &node, &partitioned }) {
    each->ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  }
  node.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  node.now += std::chrono::minutes(3);
  node.targets.Expire(std::chrono::seconds(61), node.now);
  cr_assert(node.targets.Size() == 0);
  node.state.ApplyUpdate(
    partitioned.state.CreateUpdate({ 0, 0 }, partitioned.now), node.now);
  cr_assert(node.CandidateCount() == 0);
}

/// A target that registers again after its removal is accepted.
Test(RoutingState, NewerRecordOfRemovedTargetIsAccepted)
{
  Node node;
  node.ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  node.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  node.now += std::chrono::minutes(3);
  node.targets.Expire(std::chrono::seconds(61), node.now);
  RoutingUpdate update;
  update.baseRevision = 12;
  update.revision = 14;
  update.targets.push_back(MakeTarget("a", 14, "orders", 2));
  node.state.ApplyUpdate(update, node.now);
  cr_assert(node.CandidateCount() == 1);
}

/// A balancer that learns of a departure from a peer keeps the target for its
/// existing flows as long as one that reads the departure from the store.
Test(RoutingState, DepartureReceivedFromPeerKeepsTargetForItsFlows)
{
  Node reader;
  Node other;
  for (auto* each : { &reader, &other }) {
    each->ApplyReading(FullReading(9, { MakeTarget("a", 5) }), true);
  }
  reader.ApplyReading({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  other.state.ApplyUpdate(reader.state.CreateUpdate({ 9, 0 }, reader.now),
                          other.now);
  cr_assert(other.CandidateCount() == 0);
  const auto lookup = [&other] {
    return other.targets.Lookup(ComputeTag("a", 1), kOrdersAddress,
                                other.routes);
  };
  other.now += std::chrono::seconds(59);
  other.targets.Expire(std::chrono::seconds(61), other.now);
  cr_assert(lookup() != nullptr);
  other.now += std::chrono::seconds(3);
  other.targets.Expire(std::chrono::seconds(61), other.now);
  cr_assert(lookup() == nullptr);
}

/// An entry of another program at the address of a running target.
static auto ForeignRecord(const TargetRecord& aTarget, std::uint64_t aRevision)
  -> TargetRecord
{
  auto record = aTarget;
  record.id = "m";
  record.service = "node-metrics";
  record.incarnation = aTarget.incarnation + 1;
  record.revision = aRevision;
  return record;
}

static auto ReadyTargetCount(Node& aNode) -> std::size_t
{
  const auto all = aNode.targets.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [](const auto* aEntry) {
      return aEntry->record.State() == TargetState::Ready;
    }));
}

/// Flows to a target that is taken for dead are reset.
Test(RoutingState, EntryOfAnUnknownServiceDoesNotEndTheTargetAtItsAddress)
{
  const auto target = MakeTarget("a", 5);
  const auto foreign = ForeignRecord(target, 8);
  Node reader;
  reader.ApplyReading(FullReading(9, { target, foreign }), true);
  cr_assert_eq(ReadyTargetCount(reader), 1);

  Node watcher;
  Node peer;
  watcher.ApplyReading(FullReading(7, { target }), true);
  peer.state.ApplyUpdate(watcher.state.CreateUpdate({}, watcher.now), peer.now);
  const auto update =
    watcher.ApplyReading({ 8, std::nullopt, { foreign }, {} }, false);
  cr_assert(peer.state.ApplyUpdate(update, peer.now));
  for (auto* node : { &watcher, &peer }) {
    cr_assert_eq(ReadyTargetCount(*node), 1);
    cr_assert_eq(node->CandidateCount(), 1);
    cr_assert_eq(node->metrics.Get(Counter::TargetServiceUnknown), 1);
  }
}

/// The same under the id of the running target: its own records have an earlier
/// incarnation and must still be taken.
Test(RoutingState, EntryOfAnUnknownServiceDoesNotEndTheTargetWithItsId)
{
  const auto target = MakeTarget("a", 5);
  auto foreign = ForeignRecord(target, 8);
  foreign.id = "a";
  Node node;
  node.ApplyReading(FullReading(7, { target }), true);
  node.ApplyReading({ 8, std::nullopt, { foreign }, {} }, false);
  cr_assert_eq(ReadyTargetCount(node), 1);
  auto draining = MakeTarget("a", 9);
  draining.state = static_cast<std::uint8_t>(TargetState::Draining);
  node.ApplyReading({ 9, std::nullopt, { draining }, {} }, false);
  cr_assert_eq(node.CandidateCount(), 0);
  cr_assert(node.targets.Find("a")->record.State() == TargetState::Draining);
}

/// A target may be listed before the version of the routes that names its
/// service, and then uses the address of one that has ended.
Test(RoutingState, TargetTakesEffectOnceItsServiceIsKnown)
{
  const auto former = MakeTarget("a", 5);
  auto record = ForeignRecord(former, 8);
  record.service = "prints";
  auto routes = MakeRoutes(4);
  routes.services.push_back({ "prints", "/health", 0 });
  Node watcher;
  watcher.ApplyReading(FullReading(7, { former }), true);
  watcher.ApplyReading({ 8, std::nullopt, { record }, {} }, false);
  cr_assert(watcher.targets.Candidates("prints", watcher.now).empty());
  // A balancer that knows the entry only from a peer's full state.
  Node late;
  cr_assert(late.state.ApplyUpdate(watcher.state.CreateUpdate({}, watcher.now),
                                   late.now));
  const auto update = watcher.ApplyReading({ 9, routes, {}, {} }, false);
  cr_assert(late.state.ApplyUpdate(update, late.now));
  for (auto* node : { &watcher, &late }) {
    cr_assert_eq(node->targets.Candidates("prints", node->now).size(), 1);
    cr_assert(node->targets.Find("a")->record.State() == TargetState::Dead);
  }
}

Test(RoutingState, RemovedEntryOfAnUnknownServiceDoesNotTakeEffectLater)
{
  auto record = ForeignRecord(MakeTarget("a", 5), 8);
  record.service = "prints";
  auto routes = MakeRoutes(4);
  routes.services.push_back({ "prints", "/health", 0 });
  Node watcher;
  Node peer;
  watcher.ApplyReading(FullReading(8, { record }), true);
  peer.state.ApplyUpdate(watcher.state.CreateUpdate({}, watcher.now), peer.now);
  peer.state.ApplyUpdate(
    watcher.ApplyReading({ 9, std::nullopt, {}, { { "m", 9, false } } }, false),
    peer.now);
  peer.state.ApplyUpdate(watcher.ApplyReading({ 10, routes, {}, {} }, false),
                         peer.now);
  // One that reads the full state after the removal.
  Node reader;
  reader.ApplyReading(FullReading(8, { record }), true);
  reader.ApplyReading({ 10, routes, {}, {} }, true);
  for (auto* node : { &watcher, &peer, &reader }) {
    cr_assert(node->targets.Candidates("prints", node->now).empty());
  }
}
