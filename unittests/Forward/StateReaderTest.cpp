// Readers of the store over a source and links that a test controls.

#include "unittests/Forward/TestForward.h"
#include "unittests/Peer/TestNetwork.h"

#include "bramleylock/Forward/StateReader.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A store that all balancers of a test read.
struct FakeStore
{
  std::uint64_t revision = 9;
  bool hasRoutes = true;
  bool fails = false;
  bool historyGone = false;
  std::optional<std::uint32_t> balancers;
  int wholeReadings = 0;
  int watches = 0;
  std::vector<std::uint32_t> recorded;
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
    ++m_store.wholeReadings;
    co_await Sleep(Milliseconds(4));
    m_store.historyGone = false;
    co_return Answer(aError);
  }

  auto ReadChanges(std::uint64_t, Milliseconds aWait, std::error_code& aError)
    -> awaitable<StateReading> override
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

private:
  auto Answer(std::error_code& aError) -> StateReading
  {
    if (m_store.fails) {
      aError = SourceError::Unavailable;
      return {};
    }
    StateReading reading;
    reading.revision = m_store.revision;
    reading.balancers = m_store.balancers;
    if (m_store.hasRoutes) {
      reading.routes = MakeRoutes(3);
    }
    return reading;
  }

  FakeStore& m_store;
};

/// One balancer's reader, and what it keeps current.
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

/// The operators' first routes may be seconds away; a balancer that is not the
/// first of its domain asked in a tight loop then.
Test(StateReader, WaitsQuietlyWhileNothingIsConfigured)
{
  FakeStore store;
  store.hasRoutes = false;
  peer::TestNetwork network;
  Node first(network, store, "a", "north");
  Node second(network, store, "b", "north");
  Node third(network, store, "c", "north");
  network.RunFor(Milliseconds(6000));
  cr_assert(store.wholeReadings == 3);
  cr_assert(store.watches <= 6, "%d", store.watches);
  store.hasRoutes = true;
  network.RunFor(Milliseconds(2500));
  cr_assert(second.state.IsComplete() && third.state.IsComplete());
}

Test(StateReader, HistoryThatIsGoneIsReadWhole)
{
  FakeStore store;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(100));
  store.historyGone = true;
  network.RunFor(Milliseconds(3000));
  cr_assert(store.wholeReadings == 2, "%d", store.wholeReadings);
  cr_assert(node.metrics.Get(Counter::StateHistoryGone) == 1);
}

Test(StateReader, FailedCallsAreRepeatedWithGrowingPauses)
{
  FakeStore store;
  store.fails = true;
  peer::TestNetwork network;
  Node node(network, store, "a", "north");
  network.RunFor(Milliseconds(4000));
  cr_assert(store.wholeReadings >= 4 && store.wholeReadings <= 8, "%d",
            store.wholeReadings);
  store.fails = false;
  network.RunFor(Milliseconds(1500));
  cr_assert(node.state.IsComplete());
}

/// Only the first reader of the first domain writes, and only once.
Test(StateReader, NumberOfBalancersIsRecordedOnce)
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

/// After the loss of all balancers each finds itself alone at first; half of
/// them are taken to be back.
Test(StateReader, RecordedNumberHoldsUntilMembersAreFound)
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

/// Two failure domains; in the larger one not all are told by the other.
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

/// One watch serves all failure domains.
Test(StateReader, OneReaderServesAllDomains)
{
  TwoDomains fleet;
  fleet.network.RunFor(Milliseconds(5000));
  const int before = fleet.store.watches;
  fleet.network.RunFor(Milliseconds(6600));
  cr_assert(fleet.store.watches - before <= 4, "%d",
            fleet.store.watches - before);
  for (const auto* node : fleet.all) {
    cr_assert(Clock::now() - node->state.ReadAt() < Milliseconds(2450));
  }
}

/// A domain that is cut off from the others and still reaches the store reads
/// for itself, before targets that drain get flows for too long.
Test(StateReader, DomainThatIsCutOffReadsForItself)
{
  TwoDomains fleet;
  fleet.network.RunFor(Milliseconds(5000));
  for (const auto* north : { "a", "b" }) {
    for (const auto* south : { "c", "d", "e", "f" }) {
      fleet.network.CutBoth(north, south);
    }
  }
  for (int step = 0; step < 60; ++step) {
    fleet.network.RunFor(Milliseconds(100));
    for (const auto* node : fleet.all) {
      cr_assert(Clock::now() - node->state.ReadAt() < Milliseconds(3000));
    }
  }
}

namespace {

/// A balancer that gets a peer's messages.
struct Told
{
  Told() { network.RunFor(Milliseconds(100)); }

  auto Tell(const std::string& aBody) -> void
  {
    network.links["a:1"]->handlers.at(wire::MessageType::RoutingAnswer)(
      wire::Hello{ "b", "north", "b:1", 1 }, aBody);
  }

  FakeStore store;
  peer::TestNetwork network;
  Node node{ network, store, "a", "north" };
};

} // namespace

/// Peers of another version, and bodies that are none.
Test(StateReader, NewsThatCannotBeUsedAreCountedAndChangeNothing)
{
  Told told;
  told.Tell("no message");
  RoutingUpdate unknownState;
  unknownState.revision = 20;
  unknownState.targets.push_back(MakeTarget("a", 20));
  unknownState.targets.back().state = 17;
  told.Tell(wire::PackBody(unknownState));
  RoutingUpdate noService;
  noService.revision = 21;
  noService.routes.push_back(MakeRoutes(9));
  noService.routes.back().routes.front().shares.clear();
  told.Tell(wire::PackBody(noService));
  cr_assert(told.node.metrics.Get(Counter::PeerFrameMalformed) == 3);
  cr_assert(told.node.targets.Size() == 0);
  cr_assert(told.node.routes.Current().version == 3);
}

/// An older version sends fewer fields, a newer one more.
Test(StateReader, NewsOfOtherVersionsAreRead)
{
  Told told;
  constexpr std::uint64_t kBase = 9;
  constexpr std::uint64_t kVersion = 3;
  constexpr std::uint32_t kAge = 0;
  const std::vector<RouteSet> routes;
  std::vector<TargetRecord> targets{ MakeTarget("a", 20) };
  told.Tell(wire::PackBody(
    std::make_tuple(kBase, std::uint64_t{ 20 }, kVersion, kAge, routes, targets,
                    std::vector<RemovedTarget>(), std::uint32_t{ 6 },
                    std::string("a later field"))));
  cr_assert(told.node.targets.Size() == 1);
  targets.front() = MakeTarget("c", 21);
  told.Tell(wire::PackBody(std::make_tuple(kBase, std::uint64_t{ 21 }, kVersion,
                                           kAge, routes, targets,
                                           std::vector<RemovedTarget>())));
  cr_assert(told.node.targets.Size() == 2);
  targets.front() = MakeTarget("b", 22);
  told.Tell(wire::PackBody(std::make_tuple(kBase, std::uint64_t{ 22 }, kVersion,
                                           kAge, routes, targets)));
  cr_assert(told.node.targets.Size() == 3);
}

/// The reader's calls hang while its links live, so nobody takes it for dead.
Test(StateReader, ReaderWhoseCallsFailIsStoodInFor)
{
  FakeStore good;
  FakeStore bad;
  peer::TestNetwork network;
  // The order of ranks is that of hashes; both are tried as the bad one.
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
