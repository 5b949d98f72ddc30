// Readings of the store and news of peers, lost, late and out of order.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"

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

  /// Reads the store, and gives what its peers are told.
  auto Read(StateReading aReading, bool aWhole, bool aStoreTroubled = false)
    -> RoutingUpdate
  {
    return state.ApplyReading(std::move(aReading), aWhole, aStoreTroubled, now,
                              now);
  }

  auto Ready() -> std::size_t
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

static auto Whole(std::uint64_t aRevision, std::vector<TargetRecord> aTargets)
  -> StateReading
{
  return { aRevision, MakeRoutes(3), std::move(aTargets), {} };
}

Test(RoutingState, CompleteAfterTheFirstReading)
{
  Node node;
  cr_assert(!node.state.IsComplete());
  node.Read(Whole(9, { MakeTarget("a", 5) }), true);
  cr_assert(node.state.IsComplete());
  cr_assert(node.Ready() == 1);
  cr_assert(node.metrics.Summary(Latency::StateInForce).count == 1);
}

Test(RoutingState, OlderRoutesAreNeverInstalled)
{
  Node node;
  node.Read(Whole(9, {}), true);
  StateReading older{ 12, MakeRoutes(2), {}, {} };
  node.Read(older, false);
  cr_assert(node.routes.Current().version == 3);
  cr_assert(node.metrics.Get(Counter::RoutesOlder) == 1);
}

Test(RoutingState, WholeReadingEndsWhatItDoesNotShow)
{
  Node node;
  node.Read(Whole(9, { MakeTarget("a", 5), MakeTarget("b", 6) }), true);
  node.Read(Whole(20, { MakeTarget("b", 6) }), true);
  cr_assert(node.Ready() == 1);
  cr_assert(node.targets.Find("a")->record.State() == TargetState::Departed);
}

Test(RoutingState, WholeReadingLeavesWhatIsNewer)
{
  Node node;
  node.Read(Whole(9, {}), true);
  // Changes came while the pages of an older whole reading were on their way.
  node.Read({ 30, std::nullopt, { MakeTarget("c", 30) }, {} }, false);
  node.Read(Whole(20, {}), true);
  cr_assert(node.Ready() == 1);
}

Test(RoutingState, EntriesThatLapsedInAnOutageServeUntilTheyAreBack)
{
  Node node;
  node.Read(Whole(9, { MakeTarget("a", 5) }), true);
  node.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false, true);
  cr_assert(node.Ready() == 1);
  node.now += Milliseconds(1900);
  node.Read({ 14, std::nullopt, { MakeTarget("a", 14) }, {} }, false, true);
  node.now += Milliseconds(60000);
  cr_assert(node.Ready() == 1);
}

Test(RoutingState, EntriesThatStayAwayAfterAnOutageAreGone)
{
  Node node;
  node.Read(Whole(9, { MakeTarget("a", 5) }), true);
  node.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false, true);
  node.now += Milliseconds(2600);
  cr_assert(node.Ready() == 0);
}

Test(RoutingState, PeersTakeEachOthersNews)
{
  Node reader;
  Node other;
  other.Read(Whole(9, { MakeTarget("a", 5) }), true);
  reader.Read(Whole(9, { MakeTarget("a", 5) }), true);
  const auto news =
    reader.Read({ 12, std::nullopt, { MakeTarget("b", 12) }, {} }, false);
  cr_assert(other.state.ApplyUpdate(news, other.now));
  cr_assert(other.Ready() == 2);
  cr_assert(other.state.Revision() == 12);
}

Test(RoutingState, MissedNewsAreNoticed)
{
  Node reader;
  Node other;
  other.Read(Whole(9, { MakeTarget("a", 5) }), true);
  reader.Read(Whole(9, { MakeTarget("a", 5) }), true);
  reader.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  const auto later =
    reader.Read({ 14, std::nullopt, { MakeTarget("b", 14) }, {} }, false);
  // The news of revision 12 were lost.
  cr_assert(!other.state.ApplyUpdate(later, other.now));
  const auto all =
    reader.state.CreateUpdate({ other.state.Revision(), 0 }, reader.now);
  cr_assert(other.state.ApplyUpdate(all, other.now));
  cr_assert(other.Ready() == 1);
  cr_assert(other.targets.Find("a")->record.State() == TargetState::Departed);
}

/// A fleet of thousands of targets answers with some hundred bytes.
Test(RoutingState, AnswerHoldsOnlyWhatThePeerLacks)
{
  Node reader;
  reader.Read(Whole(9, { MakeTarget("a", 5), MakeTarget("b", 6) }), true);
  reader.Read({ 12, std::nullopt, { MakeTarget("c", 12) }, {} }, false);
  const auto version = reader.state.RoutesVersion();
  const auto news = reader.state.CreateUpdate({ 9, version }, reader.now);
  cr_assert(news.baseRevision == 9 && news.revision == 12);
  cr_assert(news.routes.empty());
  cr_assert(news.targets.size() == 1 && news.targets.front().id == "c");
}

/// Whoever started after a target had ended cannot name it, and so has to tell
/// everything.
Test(RoutingState, PeerThatStartedLaterAnswersWithEverything)
{
  Node asker;
  Node later;
  asker.Read(Whole(9, { MakeTarget("a", 5), MakeTarget("b", 6) }), true);
  later.Read(Whole(14, { MakeTarget("b", 6) }), true);
  const auto news = later.state.CreateUpdate({ 9, 3 }, later.now);
  cr_assert(news.baseRevision == 0 && news.targets.size() == 1);
  cr_assert(asker.state.ApplyUpdate(news, asker.now));
  cr_assert(asker.Ready() == 1);
  // Its own changes since then it can name.
  later.Read({ 20, std::nullopt, {}, { { "b", 20, false } } }, false);
  cr_assert(later.state.CreateUpdate({ 14, 3 }, later.now).baseRevision == 14);
}

Test(RoutingState, NewsWithANewerVersionOfTheRoutesAskForIt)
{
  Node reader;
  Node other;
  other.Read(Whole(9, {}), true);
  reader.Read(Whole(9, {}), true);
  reader.Read({ 12, MakeRoutes(7), {}, {} }, false);
  auto news = reader.state.CreateUpdate({ 9, 0 }, reader.now);
  news.routes.clear();
  cr_assert(!other.state.ApplyUpdate(news, other.now));
  cr_assert(other.routes.Current().version == 3);
}

Test(RoutingState, NewBalancerLearnsOfDepartedTargets)
{
  Node reader;
  Node fresh;
  reader.Read(Whole(9, { MakeTarget("a", 5) }), true);
  reader.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  fresh.state.ApplyUpdate(reader.state.CreateUpdate({ 0, 0 }, reader.now),
                          fresh.now);
  auto* target =
    fresh.targets.Lookup(ComputeTag("a", 1), kOrders, fresh.routes);
  cr_assert(target != nullptr);
  cr_assert(target->record.State() == TargetState::Departed);
}

/// A peer that was cut off for minutes still lists a target that ended here so
/// long ago that its end is forgotten.
Test(RoutingState, PeerThatWasCutOffBringsNoEndedTargetBack)
{
  Node node;
  Node apart;
  for (auto* each : { &node, &apart }) {
    each->Read(Whole(9, { MakeTarget("a", 5) }), true);
  }
  node.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  node.now += std::chrono::minutes(3);
  node.targets.Expire(std::chrono::seconds(61), node.now);
  cr_assert(node.targets.Size() == 0);
  node.state.ApplyUpdate(apart.state.CreateUpdate({ 0, 0 }, apart.now),
                         node.now);
  cr_assert(node.Ready() == 0);
}

/// The same target listed again later is taken.
Test(RoutingState, NewerRecordOfAnEndedTargetIsTaken)
{
  Node node;
  node.Read(Whole(9, { MakeTarget("a", 5) }), true);
  node.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  node.now += std::chrono::minutes(3);
  node.targets.Expire(std::chrono::seconds(61), node.now);
  RoutingUpdate news;
  news.baseRevision = 12;
  news.revision = 14;
  news.targets.push_back(MakeTarget("a", 14, "orders", 2));
  node.state.ApplyUpdate(news, node.now);
  cr_assert(node.Ready() == 1);
}

/// Whoever learns of a departure from a peer keeps the target for its flows as
/// long as the one that read it in the store.
Test(RoutingState, DepartureLearntFromAPeerKeepsTheTargetForItsFlows)
{
  Node reader;
  Node other;
  for (auto* each : { &reader, &other }) {
    each->Read(Whole(9, { MakeTarget("a", 5) }), true);
  }
  reader.Read({ 12, std::nullopt, {}, { { "a", 12, false } } }, false);
  other.state.ApplyUpdate(reader.state.CreateUpdate({ 9, 0 }, reader.now),
                          other.now);
  cr_assert(other.Ready() == 0);
  const auto lookup = [&other] {
    return other.targets.Lookup(ComputeTag("a", 1), kOrders, other.routes);
  };
  other.now += std::chrono::seconds(59);
  other.targets.Expire(std::chrono::seconds(61), other.now);
  cr_assert(lookup() != nullptr);
  other.now += std::chrono::seconds(3);
  other.targets.Expire(std::chrono::seconds(61), other.now);
  cr_assert(lookup() == nullptr);
}
