// Tests of the readers of the store, with a simulated source and network.

#include "unittests/Forward/TestForward.h"
#include "unittests/Peer/TestNetwork.h"

#include "bramleylock/Forward/StateReader.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// Simulated store that all balancers of a test read.
struct FakeStore
{
  std::uint64_t revision = 9;
  std::uint64_t generation = 0;
  bool hasRoutes = true;
  bool fails = false;
  bool historyGone = false;
  std::optional<std::uint32_t> balancers;
  int fullReadings = 0;
  int watches = 0;
  std::vector<std::uint32_t> recorded;
  RouteSet routes = MakeRoutes(3);
  std::optional<std::vector<FormerShare>> formerShares;
  int shareRecords = 0;
};

class FakeSource : public StateSource
{
public:
  explicit FakeSource(FakeStore& aStore)
    : m_store(aStore)
  {
  }

  auto ReadAll(std::error_code& aError) -> awaitable<StateReading> override
  {
    ++m_store.fullReadings;
    co_await Sleep(Milliseconds(4));
    m_store.historyGone = false;
    co_return Answer(aError);
  }

  auto Generation() const -> std::uint64_t override
  {
    return m_store.generation;
  }

  auto ReadChanges(const StoreRevision&, Milliseconds aWait,
                   std::error_code& aError) -> awaitable<StateReading> override
  {
    ++m_store.watches;
    co_await Sleep(m_store.fails ? Milliseconds(4) : aWait + Milliseconds(4));
    if (m_store.historyGone) {
      aError = SourceError::HistoryGone;
      co_return StateReading{};
    }
    co_return Answer(aError);
  }

  auto ClusterSecret(std::error_code&) -> awaitable<std::string> override
  {
    co_return std::string();
  }

  auto RecordBalancerCount(std::uint32_t aCount, std::error_code&)
    -> awaitable<void> override
  {
    m_store.recorded.push_back(aCount);
    m_store.balancers = aCount;
    ++m_store.revision;
    co_return;
  }

  auto RecordFormerShares(const std::vector<FormerShare>& aShares,
                          std::error_code&) -> awaitable<void> override
  {
    m_store.formerShares = aShares;
    ++m_store.shareRecords;
    ++m_store.revision;
    co_return;
  }

private:
  auto Answer(std::error_code& aError) -> StateReading
  {
    if (m_store.fails) {
      aError = SourceError::Unavailable;
      return {};
    }
    StateReading reading;
    reading.revision = { m_store.revision, m_store.generation };
    reading.balancers = m_store.balancers;
    if (m_store.hasRoutes) {
      reading.routes = m_store.routes;
    }
    reading.formerShares = m_store.formerShares;
    return reading;
  }

  FakeStore& m_store;
};

/// A balancer's reader and the routing state that it maintains.
struct Node
{
  Node(peer::TestNetwork& aNetwork, FakeStore& aStore, const std::string& aName,
       const std::string& aDomain)
    : members(aNetwork.Add(aName, aDomain))
    , targets(codec)
    , state(routes, targets, metrics)
    , source(aStore)
    , broadcast(*aNetwork.links[aName + ":1"], members, metrics)
    , reader(aNetwork.context, source, state, *aNetwork.links[aName + ":1"],
             members, broadcast, metrics)
  {
    reader.Start();
  }

  peer::Membership& members;
  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets;
  RoutingState state;
  FakeSource source;
  peer::Broadcast broadcast;
  StateReader reader;
};

} // namespace

/// Operators may write the first routes seconds after the balancers start.
/// Guards against a fault in which balancers other than the first of their
/// domain polled the store in a tight loop until then.
Test(StateReader, DoesNotPollRapidlyWithoutConfiguration)
{
  FakeStore store;
  store.hasRoutes = false;
  peer::TestNetwork network;
  Node first(network, store, "a", "north");
  Node second(network, store, "b", "north");
  Node third(network, store, "c", "north");
  network.RunFor(Milliseconds(6000));
  cr_assert(store.fullReadings == 3);
  cr_assert(store.watches <= 6, "%d", store.watches);
  store.hasRoutes = true;
  network.RunFor(Milliseconds(2500));
  cr_assert(second.state.IsComplete() && third.state.IsComplete());
}

Test(StateReader, FullStateIsReadWhenHistoryIsGone)
{
  FakeStore store;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(100));
  store.historyGone = true;
  network.RunFor(Milliseconds(3000));
  cr_assert(store.fullReadings == 2, "%d", store.fullReadings);
  cr_assert(node.metrics.Get(Counter::StateHistoryGone) == 1);
}

Test(StateReader, FailedCallsAreRetriedWithBackoff)
{
  FakeStore store;
  store.fails = true;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(4000));
  cr_assert(store.fullReadings >= 4 && store.fullReadings <= 8, "%d",
            store.fullReadings);
  store.fails = false;
  network.RunFor(Milliseconds(1500));
  cr_assert(node.state.IsComplete());
}

/// Only the reader with rank 0 of the first failure domain records the number
/// of balancers, and only once.
Test(StateReader, BalancerCountIsRecordedOnce)
{
  FakeStore store;
  peer::TestNetwork network;
  Node first(network, store, "a", "north");
  Node second(network, store, "b", "north");
  Node other(network, store, "c", "south");
  network.RunFor(Milliseconds(16000));
  cr_assert(store.recorded.size() == 1, "%zu", store.recorded.size());
  cr_assert(store.recorded[0] == 3);
}

/// After all balancers were lost, a restarted balancer finds no members at
/// first. It assumes that half of the recorded balancers are back.
Test(StateReader, RecordedCountIsUsedUntilMembersAreFound)
{
  FakeStore store;
  store.balancers = 8;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(200));
  const auto now = Clock::now();
  cr_assert(node.reader.BalancerCount(now) == 4);
  cr_assert(node.reader.BalancerCount(now + Milliseconds(600)) == 8);
  cr_assert(node.reader.BalancerCount(now + Milliseconds(4000)) == 1);
}

namespace {

/// Two failure domains with two and four balancers. Updates from the smaller
/// domain do not reach all balancers of the larger one directly.
struct TwoDomains
{
  peer::TestNetwork network;
  FakeStore store;
  Node northA{ network, store, "a", "north" };
  Node northB{ network, store, "b", "north" };
  Node southC{ network, store, "c", "south" };
  Node southD{ network, store, "d", "south" };
  Node southE{ network, store, "e", "south" };
  Node southF{ network, store, "f", "south" };
  std::array<Node*, 6> all{
    &northA, &northB, &southC, &southD, &southE, &southF
  };
};

} // namespace

/// The watches of a single reader supply all failure domains.
Test(StateReader, OneReaderSuppliesAllDomains)
{
  TwoDomains deployment;
  deployment.network.RunFor(Milliseconds(5000));
  const int before = deployment.store.watches;
  deployment.network.RunFor(Milliseconds(6600));
  cr_assert(deployment.store.watches - before <= 4, "%d",
            deployment.store.watches - before);
  for (const auto* node : deployment.all) {
    cr_assert(Clock::now() - node->state.ReadAt() < Milliseconds(2450));
  }
}

/// A domain that is partitioned from the others but can reach the store reads
/// it on its own, soon enough that draining targets receive no new flows after
/// the allowed 3 s.
Test(StateReader, PartitionedDomainReadsOnItsOwn)
{
  TwoDomains deployment;
  deployment.network.RunFor(Milliseconds(5000));
  for (const auto* north : { "a", "b" }) {
    for (const auto* south : { "c", "d", "e", "f" }) {
      deployment.network.CutBothDirections(north, south);
    }
  }
  for (int step = 0; step < 60; ++step) {
    deployment.network.RunFor(Milliseconds(100));
    for (const auto* node : deployment.all) {
      cr_assert(Clock::now() - node->state.ReadAt() < Milliseconds(3000));
    }
  }
}

/// A failure domain was lost with the only balancer that watched the store. For
/// up to 2.45 s nobody heard that targets had restarted cold.
Test(StateReader, LossOfADomainDelaysNoReadingIfWarmUpIsLimited)
{
  TwoDomains deployment;
  deployment.store.routes.services.push_back({ "orders", "", 0, 2000, 5 });
  deployment.network.RunFor(Milliseconds(5000));
  const int before = deployment.store.watches;
  deployment.network.RunFor(Milliseconds(6600));
  cr_assert_leq(deployment.store.watches - before, 8);
  for (const auto* north : { "a", "b" }) {
    for (const auto* south : { "c", "d", "e", "f" }) {
      deployment.network.CutBothDirections(north, south);
    }
  }
  // Without a second watcher, the next balancer of the other domain reads when
  // the state has the age of ReadDelay.
  const auto limit =
    ReadDelay(1, deployment.northA.reader.Intervals()) - Milliseconds(150);
  for (int step = 0; step < 150; ++step) {
    deployment.network.RunFor(Milliseconds(20));
    for (const auto* node : deployment.all) {
      cr_assert(Clock::now() - node->state.ReadAt() < limit);
    }
  }
}

/// All balancers need the state as of the same time.
Test(StateReader, OneBalancerReadsTheStateThatAllNeed)
{
  TwoDomains deployment;
  deployment.network.RunFor(Milliseconds(5000));
  const int before = deployment.store.watches;
  const auto asOf = Clock::now() + Milliseconds(100);
  for (auto* node : deployment.all) {
    node->reader.ReadAsOf(asOf);
  }
  deployment.network.RunFor(Milliseconds(400));
  cr_assert_leq(deployment.store.watches - before, 3);
  for (const auto* node : deployment.all) {
    cr_assert(node->state.ReadAt() >= asOf);
  }
}

namespace {

/// A balancer that receives messages from a peer.
struct PeerMessageReceiver
{
  PeerMessageReceiver() { network.RunFor(Milliseconds(100)); }

  auto ReceiveUpdate(const std::string& aBody) -> void
  {
    network.links["a:1"]->handlers.at(wire::MessageType::RoutingAnswer)(
      wire::Hello{ "b", "north", "b:1", 1 }, aBody);
  }

  FakeStore store;
  peer::TestNetwork network;
  Node node{ network, store, "a", "north" };
};

} // namespace

/// Covers malformed messages and values of a version that is unknown here.
Test(StateReader, InvalidUpdatesAreCountedAndIgnored)
{
  PeerMessageReceiver receiver;
  receiver.ReceiveUpdate("no message");
  RoutingUpdate unknownState;
  unknownState.revision = 20;
  unknownState.targets.push_back(MakeTarget("a", 20));
  unknownState.targets.back().state = 17;
  receiver.ReceiveUpdate(wire::PackBody(unknownState));
  RoutingUpdate noService;
  noService.revision = 21;
  noService.routes.push_back(MakeRoutes(9));
  noService.routes.back().routes.front().shares.clear();
  receiver.ReceiveUpdate(wire::PackBody(noService));
  cr_assert(receiver.node.metrics.Get(Counter::PeerFrameMalformed) == 3);
  cr_assert(receiver.node.targets.Size() == 0);
  cr_assert(receiver.node.routes.Current().version == 3);
}

/// Peers of older versions send fewer fields, and peers of newer versions more.
Test(StateReader, UpdatesOfOtherVersionsAreAccepted)
{
  PeerMessageReceiver receiver;
  constexpr std::uint64_t kBase = 9;
  constexpr std::uint64_t kVersion = 3;
  constexpr std::uint32_t kAge = 0;
  const std::vector<RouteSet> routes;
  std::vector<TargetRecord> targets{ MakeTarget("a", 20) };
  receiver.ReceiveUpdate(wire::PackBody(std::make_tuple(
    kBase, std::uint64_t{ 20 }, kVersion, kAge, routes, targets,
    std::vector<RemovedTarget>(), std::uint32_t{ 6 }, std::uint64_t{ 0 },
    std::uint64_t{ 0 }, std::vector<EvacuationRecord>(), false,
    std::vector<FormerShare>(), std::vector<RouteSetChange>(),
    std::string("a later field"))));
  cr_assert(receiver.node.targets.Size() == 1);
  targets.front() = MakeTarget("c", 21);
  receiver.ReceiveUpdate(wire::PackBody(
    std::make_tuple(kBase, std::uint64_t{ 21 }, kVersion, kAge, routes, targets,
                    std::vector<RemovedTarget>())));
  cr_assert(receiver.node.targets.Size() == 2);
  targets.front() = MakeTarget("b", 22);
  receiver.ReceiveUpdate(wire::PackBody(std::make_tuple(
    kBase, std::uint64_t{ 22 }, kVersion, kAge, routes, targets)));
  cr_assert(receiver.node.targets.Size() == 3);
}

/// The reader's calls to the store fail while its links to peers still work, so
/// its peers do not detect a failed member. Another balancer has to read.
Test(StateReader, AnotherBalancerReadsWhenReaderFails)
{
  FakeStore good;
  FakeStore bad;
  peer::TestNetwork network;
  // Ranks depend on hashes, so the test lets each of the two balancers fail.
  Node first(network, good, "a", "north");
  Node second(network, bad, "b", "north");
  network.RunFor(Milliseconds(5000));
  for (auto* failing : { &bad, &good }) {
    bad.fails = failing == &bad;
    good.fails = failing == &good;
    for (int step = 0; step < 50; ++step) {
      network.RunFor(Milliseconds(100));
      for (const auto* node : { &first, &second }) {
        cr_assert(Clock::now() - node->state.ReadAt() < Milliseconds(3000));
      }
    }
  }
}

/// Guards against full readings without end, and against skipping the changes
/// before the number of the lost history.
Test(StateReader, RestoredStoreIsReadInFullOnce)
{
  FakeStore store;
  store.generation = 1;
  store.revision = 25;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(100));
  cr_assert(node.state.Revision() == StoreRevision(25, 1));
  store.generation = 2;
  store.revision = 20;
  network.RunFor(Milliseconds(6000));
  cr_assert(node.state.Revision() == StoreRevision(20, 2));
  cr_assert(store.fullReadings == 2, "%d", store.fullReadings);
  cr_assert(node.metrics.Get(Counter::StateRestored) == 1);
}
