// Tests of routing state after the store was restored from an older copy: its
// revisions go back and are assigned again, and its generation rises.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Wire/Messages.h"

#include <criterion/criterion.h>

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

  auto ReadFully(const StoreRevision& aRevision, std::uint64_t aRoutesVersion,
                 std::vector<TargetRecord> aTargets) -> RoutingUpdate
  {
    return state.ApplyReading(
      { aRevision, MakeRoutes(aRoutesVersion), std::move(aTargets), {} }, true,
      false, now, now);
  }

  auto ReadChange(const StoreRevision& aRevision, const TargetRecord& aTarget)
    -> RoutingUpdate
  {
    return state.ApplyReading({ aRevision, std::nullopt, { aTarget }, {} },
                              false, false, now, now);
  }

  auto ReadRemoval(const StoreRevision& aRevision, const std::string& aId)
    -> RoutingUpdate
  {
    return state.ApplyReading(
      { aRevision, std::nullopt, {}, { { aId, aRevision, false } } }, false,
      false, now, now);
  }

  auto StateOf(const std::string& aId) -> TargetState
  {
    return targets.Find(aId)->record.State();
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

/// Records of the previous build: without generations and sequences.
struct PreviousRecord
{
  std::string id;
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::uint32_t slots = 0;
  std::uint8_t state = 0;
  std::uint32_t warmUpMs = 0;
  std::uint64_t revision = 0;
  MSGPACK_DEFINE_ARRAY(id, incarnation, service, ip, port, failureDomain, slots,
                       state, warmUpMs, revision)
};

struct PreviousRemoval
{
  std::string id;
  std::uint64_t revision = 0;
  bool mayReturn = false;
  MSGPACK_DEFINE_ARRAY(id, revision, mayReturn)
};

struct PreviousRoutes
{
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  MSGPACK_DEFINE_ARRAY(version, revision, idleTimeoutMs, routes, services)
};

struct PreviousUpdate
{
  std::uint64_t baseRevision = 0;
  std::uint64_t revision = 0;
  std::uint64_t routesVersion = 0;
  std::uint32_t ageMs = 0;
  std::vector<PreviousRoutes> routes;
  std::vector<PreviousRecord> targets;
  std::vector<PreviousRemoval> removed;
  std::uint32_t balancers = 0;
  MSGPACK_DEFINE_ARRAY(baseRevision, revision, routesVersion, ageMs, routes,
                       targets, removed, balancers)
};

struct PreviousRequest
{
  std::uint64_t revision = 0;
  std::uint64_t routesVersion = 0;
  MSGPACK_DEFINE_ARRAY(revision, routesVersion)
};

} // namespace

static auto Revision(std::uint64_t aGeneration, std::uint64_t aNumber)
  -> StoreRevision
{
  return { aNumber, aGeneration };
}

static auto Target(const std::string& aId, const StoreRevision& aRevision,
                   std::uint64_t aSequence,
                   TargetState aState = TargetState::Ready) -> TargetRecord
{
  auto record = MakeTarget(aId, 0);
  record.revision = aRevision;
  record.sequence = aSequence;
  record.state = static_cast<std::uint8_t>(aState);
  return record;
}

Test(RestoredStore, RevisionsAreOrderedByGenerationFirst)
{
  cr_assert(Revision(2, 5) > Revision(1, 9));
  cr_assert(Revision(2, 5) < Revision(2, 6));
  cr_assert(FormatRevision(Revision(2, 5)) == "2.5");
  cr_assert(FormatRevision(Revision(0, 5)) == "5");
}

/// Guards against watching from a revision of the lost history.
Test(RestoredStore, RevisionGoesBackWithTheStore)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, {});
  node.ReadFully(Revision(2, 20), 3, {});
  cr_assert(node.state.Revision() == Revision(2, 20));
  cr_assert(node.metrics.Get(Counter::StateRestored) == 1);
}

Test(RestoredStore, RoutesDoNotGoBack)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, {});
  node.ReadFully(Revision(2, 20), 2, {});
  cr_assert(node.routes.Current().version == 3);
}

/// Guards against flows to a target whose departure the copy lacks.
Test(RestoredStore, DrainingTargetDoesNotBecomeReadyFromTheCopy)
{
  Node node;
  node.ReadFully(Revision(1, 5), 3, { Target("a", Revision(1, 5), 4) });
  node.ReadChange(Revision(1, 25),
                  Target("a", Revision(1, 25), 7, TargetState::Draining));
  node.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  cr_assert(node.StateOf("a") == TargetState::Draining);
  // The target itself decides when it writes again.
  node.ReadChange(Revision(2, 21), Target("a", Revision(2, 21), 8));
  cr_assert(node.StateOf("a") == TargetState::Ready);
}

Test(RestoredStore, RemovedTargetDoesNotReturnFromTheCopy)
{
  Node node;
  node.ReadFully(Revision(1, 5), 3, { Target("a", Revision(1, 5), 4) });
  node.ReadRemoval(Revision(1, 25), "a");
  node.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  cr_assert(node.CandidateCount() == 0);
  node.ReadChange(Revision(2, 21), Target("a", Revision(2, 21), 9));
  cr_assert(node.CandidateCount() == 1);
}

Test(RestoredStore, LostEntriesAreUsedUntilTheyAreWrittenAgain)
{
  Node node;
  node.ReadFully(
    Revision(1, 25), 3,
    { Target("a", Revision(1, 5), 4), Target("b", Revision(1, 25), 1) });
  node.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  cr_assert(node.CandidateCount() == 2);
  node.now += Milliseconds(1900);
  node.ReadChange(Revision(2, 22), Target("b", Revision(2, 22), 5));
  node.now += Milliseconds(60000);
  cr_assert(node.CandidateCount() == 2);
}

Test(RestoredStore, LostEntriesThatAreNotWrittenAgainAreRemoved)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, { Target("b", Revision(1, 25), 1) });
  node.ReadFully(Revision(2, 20), 3, {});
  node.now += Milliseconds(2600);
  cr_assert(node.CandidateCount() == 0);
}

Test(RestoredStore, SecondRestoreRenewsTheGracePeriod)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, { Target("b", Revision(1, 25), 1) });
  node.ReadFully(Revision(2, 20), 3, {});
  node.now += Milliseconds(2000);
  node.ReadFully(Revision(3, 20), 3, {});
  node.now += Milliseconds(2000);
  cr_assert(node.CandidateCount() == 1);
  node.now += Milliseconds(600);
  cr_assert(node.CandidateCount() == 0);
}

/// Revisions are assigned again, so a record of the new history may have the
/// revision of a different one of the lost history.
Test(RestoredStore, ReusedRevisionIsANewChange)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, { Target("a", Revision(1, 25), 4) });
  node.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 3) });
  node.ReadChange(Revision(2, 25),
                  Target("a", Revision(2, 25), 6, TargetState::Draining));
  cr_assert(node.StateOf("a") == TargetState::Draining);
}

Test(RestoredStore, CopyOfAKnownWriteDoesNotBeginTheWarmUpAgain)
{
  Node node;
  auto target = Target("a", Revision(1, 5), 4);
  target.warmUpMs = 4000;
  node.ReadFully(Revision(1, 25), 3, { target });
  const auto warmUpEndsAt = node.targets.Find("a")->warmUpEndsAt;
  node.now += Milliseconds(3000);
  target.revision = Revision(2, 5);
  node.ReadFully(Revision(2, 20), 3, { target });
  cr_assert(node.targets.Find("a")->warmUpEndsAt == warmUpEndsAt);
}

Test(RestoredStore, PeersFollowTheReader)
{
  Node reader;
  Node peer;
  for (auto* node : { &reader, &peer }) {
    node->ReadFully(
      Revision(1, 25), 3,
      { Target("a", Revision(1, 5), 4), Target("b", Revision(1, 24), 1) });
  }
  reader.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  const auto change =
    reader.ReadChange(Revision(2, 21), Target("c", Revision(2, 21), 1));
  // The update of the full reading was lost.
  cr_assert(!peer.state.ApplyUpdate(change, peer.now));
  cr_assert(peer.state.Revision() == Revision(1, 25));
  const auto all = reader.state.CreateUpdate(
    { peer.state.Revision(), peer.state.RoutesVersion() }, reader.now);
  cr_assert(all.baseRevision == StoreRevision());
  cr_assert(peer.state.ApplyUpdate(all, peer.now));
  cr_assert(peer.state.Revision() == Revision(2, 21));
  // "b" may be written again.
  cr_assert(peer.CandidateCount() == 3);
  peer.now += Milliseconds(2600);
  cr_assert(peer.CandidateCount() == 2);
}

/// A peer that was cut off or paused across the restore.
Test(RestoredStore, UpdateOfTheLostHistoryIsNotTakenAsCurrent)
{
  Node late;
  Node node;
  for (auto* each : { &late, &node }) {
    each->ReadFully(Revision(1, 25), 3, { Target("a", Revision(1, 5), 4) });
  }
  const auto update =
    late.ReadChange(Revision(1, 30), Target("b", Revision(1, 30), 1));
  node.now += Milliseconds(5000);
  node.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  const auto readAt = node.state.ReadAt();
  node.now += Milliseconds(1000);
  cr_assert(node.state.ApplyUpdate(update, node.now));
  cr_assert(node.state.Revision() == Revision(2, 20));
  cr_assert(node.state.ReadAt() == readAt);
  cr_assert(node.CandidateCount() == 1);
}

/// A balancer that starts after the restore knows only the copy.
Test(RestoredStore, LaterWriteKnownToAPeerIsTaken)
{
  Node peer;
  Node started;
  peer.ReadFully(Revision(1, 25), 3,
                 { Target("a", Revision(1, 24), 7, TargetState::Draining) });
  started.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  const auto update =
    peer.ReadFully(Revision(2, 20), 3, { Target("a", Revision(2, 5), 4) });
  cr_assert(started.state.ApplyUpdate(update, started.now));
  cr_assert(started.StateOf("a") == TargetState::Draining);
}

Test(RestoredStore, LostNumberOfBalancersIsUnknown)
{
  Node node;
  StateReading first{ Revision(1, 25), MakeRoutes(3), {}, {} };
  first.balancers = 8;
  node.state.ApplyReading(first, true, false, node.now, node.now);
  cr_assert(node.state.RecordedBalancerCount() == 8);
  node.ReadFully(Revision(2, 20), 3, {});
  cr_assert(node.state.RecordedBalancerCount() == 0);
}

Test(RestoredStore, PreviousBuildReadsAndWritesTheMessages)
{
  Node node;
  node.ReadFully(Revision(1, 25), 3, { Target("a", Revision(1, 5), 4) });
  const auto sent = wire::UnpackBody<PreviousUpdate>(
    wire::PackBody(node.state.CreateUpdate({ 0, 0 }, node.now)));
  cr_assert(sent && sent->revision == 25 && sent->targets.size() == 1);
  cr_assert(sent->targets[0].revision == 5 && sent->routes[0].version == 3);

  PreviousUpdate update;
  update.baseRevision = 25;
  update.revision = 27;
  update.routesVersion = 3;
  const auto added = MakeTarget("b", 26);
  update.targets.push_back(
    { added.id, 1, added.service, added.ip, added.port, "here", 2, 0, 0, 26 });
  update.removed.push_back({ "a", 27, false });
  const auto received = wire::UnpackBody<RoutingUpdate>(wire::PackBody(update));
  cr_assert(received && IsValid(*received));
  cr_assert(node.state.ApplyUpdate(*received, node.now));
  cr_assert(node.state.Revision() == Revision(1, 27));
  cr_assert(node.StateOf("a") == TargetState::Departed);
  cr_assert(node.StateOf("b") == TargetState::Ready);

  const auto request =
    wire::UnpackBody<RoutingRequest>(wire::PackBody(PreviousRequest{ 25, 3 }));
  const auto answer = node.state.CreateUpdate(*request, node.now);
  cr_assert(answer.baseRevision == Revision(1, 25));
  cr_assert(answer.targets.size() == 2);
}
