// Tests of fetching the routing state from seeds when a balancer starts without
// the store.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/SeedStateFetcher.h"
#include "bramleylock/Peer/PeerHub.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// Routing state of one balancer.
struct BalancerFixture
{
  auto ApplyFullReading(std::uint64_t aRevision,
                        std::vector<TargetRecord> aTargets) -> void
  {
    StateReading reading;
    reading.revision = aRevision;
    reading.routes = MakeRoutes(3);
    reading.targets = std::move(aTargets);
    reading.balancers = 6;
    const auto now = Clock::now();
    state.ApplyReading(std::move(reading), true, false, now, now);
  }

  auto CandidateCount() -> std::size_t
  {
    return targets.Candidates("orders", Clock::now()).size();
  }

  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets{ codec };
  RoutingState state{ routes, targets, metrics };
};

/// A running seed and a balancer that starts without the cluster secret.
struct Deployment
{
  Deployment()
    : hub(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
          peer::ClusterKey{ 1, 2, 3 }, seed.metrics)
  {
    hub.OnKeylessRequest([this](const std::string& aRequestBody) {
      return AnswerSeedStateRequest(seed.state, aRequestBody, Clock::now());
    });
    hub.Start({ "seed", "here", hub.Address(), 1 });
  }

  auto StartFetcher(std::vector<std::string> aSeeds) -> SeedStateFetcher&
  {
    fetcher = std::make_unique<SeedStateFetcher>(
      context, newBalancer.state, newBalancer.metrics, std::move(aSeeds));
    fetcher->Start();
    return *fetcher;
  }

  auto RunFor(int aMilliseconds) -> void
  {
    context.run_for(Milliseconds(aMilliseconds));
  }

  asio::io_context context{ 1 };
  BalancerFixture seed;
  BalancerFixture newBalancer;
  peer::PeerHub hub;
  std::unique_ptr<SeedStateFetcher> fetcher;
};

/// An address without a listener.
const std::string kUnusedAddress = "127.0.0.1:1";

} // namespace

Test(SeedStateFetcher, NewBalancerUsesTheStateOfASeed)
{
  Deployment deployment;
  deployment.seed.ApplyFullReading(9,
                                   { MakeTarget("a", 5), MakeTarget("b", 6) });
  deployment.StartFetcher({ kUnusedAddress, deployment.hub.Address() });
  deployment.RunFor(200);
  cr_assert(!deployment.newBalancer.state.IsComplete(),
            "the store is given time to answer first");
  deployment.RunFor(1000);
  cr_assert(deployment.newBalancer.state.IsComplete());
  cr_assert(deployment.newBalancer.CandidateCount() == 2);
  cr_assert(deployment.newBalancer.state.RecordedBalancerCount() == 6);
}

/// While the store is unreachable for the new balancer only, the changes that
/// the seed reads reach the new balancer.
Test(SeedStateFetcher, FetchedStateIsKeptUpToDate)
{
  Deployment deployment;
  deployment.seed.ApplyFullReading(9,
                                   { MakeTarget("a", 5), MakeTarget("b", 6) });
  deployment.StartFetcher({ deployment.hub.Address() });
  deployment.RunFor(600);
  cr_assert(deployment.newBalancer.CandidateCount() == 2);
  deployment.seed.ApplyFullReading(12, { MakeTarget("a", 5) });
  deployment.RunFor(1300);
  cr_assert(deployment.newBalancer.CandidateCount() == 1);
}

/// Once the store has answered, state fetched from a seed must not bring back a
/// target that has been removed.
Test(SeedStateFetcher, StoreReadingReplacesFetchedState)
{
  Deployment deployment;
  deployment.seed.ApplyFullReading(9,
                                   { MakeTarget("a", 5), MakeTarget("b", 6) });
  auto& fetcher = deployment.StartFetcher({ deployment.hub.Address() });
  deployment.RunFor(600);
  fetcher.Stop();
  deployment.newBalancer.ApplyFullReading(14, { MakeTarget("a", 5) });
  cr_assert(deployment.newBalancer.CandidateCount() == 1);
  // Neither a late response nor a seed with older state restores the target.
  deployment.RunFor(1500);
  cr_assert(deployment.newBalancer.CandidateCount() == 1);
  const auto lateUpdate =
    wire::UnpackBody<RoutingUpdate>(AnswerSeedStateRequest(
      deployment.seed.state, wire::PackBody(RoutingRequest{}), Clock::now()));
  cr_assert(lateUpdate);
  deployment.newBalancer.state.ApplyUpdate(*lateUpdate, Clock::now());
  cr_assert(deployment.newBalancer.CandidateCount() == 1);
}

Test(SeedStateFetcher, SeedWithoutStateRefuses)
{
  Deployment deployment;
  deployment.StartFetcher({ deployment.hub.Address() });
  deployment.RunFor(1200);
  cr_assert(!deployment.newBalancer.state.IsComplete());
  cr_assert(deployment.seed.metrics.Get(Counter::PeerQuestionRefused) >= 2);
  cr_assert(deployment.newBalancer.metrics.Get(Counter::StateBorrowFailed) >=
            2);
}

Test(SeedStateFetcher, MalformedRequestIsRefused)
{
  BalancerFixture seed;
  seed.ApplyFullReading(9, { MakeTarget("a", 5) });
  const auto now = Clock::now();
  cr_assert(AnswerSeedStateRequest(seed.state, "", now).empty());
  cr_assert(
    AnswerSeedStateRequest(seed.state, "\xc1 not a request", now).empty());
  cr_assert(
    !AnswerSeedStateRequest(seed.state, wire::PackBody(RoutingRequest{}), now)
       .empty());
}

/// A balancer without the secret receives only the seed state: the seed accepts
/// no messages from it and opens no link.
Test(SeedStateFetcher, RequestWithoutSecretOpensNoLink)
{
  Deployment deployment;
  deployment.seed.ApplyFullReading(9, { MakeTarget("a", 5) });
  int messages = 0;
  deployment.hub.On(
    wire::MessageType::Routing,
    [&messages](const wire::Hello&, const std::string&) { ++messages; });
  deployment.StartFetcher({ deployment.hub.Address() });
  deployment.RunFor(800);
  cr_assert(messages == 0);
  cr_assert(deployment.hub.OutgoingLinkCount() == 0);
  cr_assert(deployment.seed.metrics.Get(Counter::PeerAuthFailed) == 0);
}
