// A balancer that starts without the store, and the seeds that it asks.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/SeedStateFetcher.h"
#include "bramleylock/Peer/PeerHub.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// Routes and targets of one balancer.
struct Knowledge
{
  auto Learn(std::uint64_t aRevision, std::vector<TargetRecord> aTargets)
    -> void
  {
    StateReading reading;
    reading.revision = aRevision;
    reading.routes = MakeRoutes(3);
    reading.targets = std::move(aTargets);
    reading.balancers = 6;
    const auto now = Clock::now();
    state.ApplyReading(std::move(reading), true, false, now, now);
  }

  auto TakesFlows() -> std::size_t
  {
    return targets.Candidates("orders", Clock::now()).size();
  }

  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets{ codec };
  RoutingState state{ routes, targets, metrics };
};

/// A seed that serves, and a balancer that starts without the secret.
struct Deployment
{
  Deployment()
    : hub(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
          peer::ClusterKey{ 1, 2, 3 }, seed.metrics)
  {
    hub.OnQuestion([this](const std::string& aQuestion) {
      return AnswerSeedStateRequest(seed.state, aQuestion, Clock::now());
    });
    hub.Start({ "seed", "here", hub.Address(), 1 });
  }

  auto Borrow(std::vector<std::string> aSeeds) -> SeedStateFetcher&
  {
    borrower = std::make_unique<SeedStateFetcher>(
      context, newcomer.state, newcomer.metrics, std::move(aSeeds));
    borrower->Start();
    return *borrower;
  }

  auto RunFor(int aMilliseconds) -> void
  {
    context.run_for(Milliseconds(aMilliseconds));
  }

  asio::io_context context{ 1 };
  Knowledge seed;
  Knowledge newcomer;
  peer::PeerHub hub;
  std::unique_ptr<SeedStateFetcher> borrower;
};

/// An address at which nobody listens.
const std::string kNobody = "127.0.0.1:1";

} // namespace

Test(SeedStateFetcher, NewcomerServesWhatASeedKnows)
{
  Deployment deployment;
  deployment.seed.Learn(9, { MakeTarget("a", 5), MakeTarget("b", 6) });
  deployment.Borrow({ kNobody, deployment.hub.Address() });
  deployment.RunFor(200);
  cr_assert(!deployment.newcomer.state.IsComplete(), "the store comes first");
  deployment.RunFor(1000);
  cr_assert(deployment.newcomer.state.IsComplete());
  cr_assert(deployment.newcomer.TakesFlows() == 2);
  cr_assert(deployment.newcomer.state.RecordedBalancerCount() == 6);
}

/// What the seed learns later reaches the newcomer while the store is away from
/// it alone.
Test(SeedStateFetcher, BorrowedStateIsKeptCurrent)
{
  Deployment deployment;
  deployment.seed.Learn(9, { MakeTarget("a", 5), MakeTarget("b", 6) });
  deployment.Borrow({ deployment.hub.Address() });
  deployment.RunFor(600);
  cr_assert(deployment.newcomer.TakesFlows() == 2);
  deployment.seed.Learn(12, { MakeTarget("a", 5) });
  deployment.RunFor(1300);
  cr_assert(deployment.newcomer.TakesFlows() == 1);
}

/// A target that ended is not in use again once the store has answered.
Test(SeedStateFetcher, TheStoresWordReplacesWhatWasBorrowed)
{
  Deployment deployment;
  deployment.seed.Learn(9, { MakeTarget("a", 5), MakeTarget("b", 6) });
  auto& borrower = deployment.Borrow({ deployment.hub.Address() });
  deployment.RunFor(600);
  borrower.Stop();
  deployment.newcomer.Learn(14, { MakeTarget("a", 5) });
  cr_assert(deployment.newcomer.TakesFlows() == 1);
  // Neither a late answer nor a seed that is behind brings it back.
  deployment.RunFor(1500);
  cr_assert(deployment.newcomer.TakesFlows() == 1);
  const auto late = wire::UnpackBody<RoutingUpdate>(AnswerSeedStateRequest(
    deployment.seed.state, wire::PackBody(RoutingRequest{}), Clock::now()));
  cr_assert(late);
  deployment.newcomer.state.ApplyUpdate(*late, Clock::now());
  cr_assert(deployment.newcomer.TakesFlows() == 1);
}

Test(SeedStateFetcher, SeedThatKnowsNothingRefuses)
{
  Deployment deployment;
  deployment.Borrow({ deployment.hub.Address() });
  deployment.RunFor(1200);
  cr_assert(!deployment.newcomer.state.IsComplete());
  cr_assert(deployment.seed.metrics.Get(Counter::PeerQuestionRefused) >= 2);
  cr_assert(deployment.newcomer.metrics.Get(Counter::StateBorrowFailed) >= 2);
}

Test(SeedStateFetcher, QuestionThatCannotBeReadIsRefused)
{
  Knowledge seed;
  seed.Learn(9, { MakeTarget("a", 5) });
  const auto now = Clock::now();
  cr_assert(AnswerSeedStateRequest(seed.state, "", now).empty());
  cr_assert(
    AnswerSeedStateRequest(seed.state, "\xc1 not a request", now).empty());
  cr_assert(
    !AnswerSeedStateRequest(seed.state, wire::PackBody(RoutingRequest{}), now)
       .empty());
}

/// Without the secret a balancer gets this answer and nothing else: no message
/// of it is taken.
Test(SeedStateFetcher, QuestionOpensNoLink)
{
  Deployment deployment;
  deployment.seed.Learn(9, { MakeTarget("a", 5) });
  int messages = 0;
  deployment.hub.On(
    wire::MessageType::Routing,
    [&messages](const wire::Hello&, const std::string&) { ++messages; });
  deployment.Borrow({ deployment.hub.Address() });
  deployment.RunFor(800);
  cr_assert(messages == 0);
  cr_assert(deployment.hub.OpenLinks() == 0);
  cr_assert(deployment.seed.metrics.Get(Counter::PeerAuthFailed) == 0);
}
